#pragma once

#include <functional>

#include "gateway/duty.h"
#include "gateway/relayed_store.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// On a relay: renews this host's lease whenever it has had no answer from the store for some time, so that the heartbeats show whether the store still
/// reaches the relays. The second relay does so only in place of the first. A watch alone is answered every few seconds, and a renewal is the cheapest call of
/// the store.
class StoreProbeDuty final : public Duty
{
public:
    /// `leaseId` returns the lease of this host's key, or 0 if there is none.
    StoreProbeDuty(RelayedStore &store, std::function<std::int64_t()> leaseId);

private:
    void run() override;

    RelayedStore &store_;
    std::function<std::int64_t()> leaseId_;
    Backoff backoff_ = storeBackoff();
};

} // namespace Lovageloft
