#pragma once

#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// Writes the ends of claims to the store, one call a step, for as long as it takes. Until then the table answers for
/// them. One duty runs it.
class ClaimRecorder
{
public:
    ClaimRecorder(ClaimTable &table, Store &store);

    /// Makes at most one call to the store. False if nothing is due.
    bool step(TimePoint now);

private:
    void lookUp(const ClaimWork &work, TimePoint now);
    void write(const ClaimWork &work, TimePoint now);
    void onSeen(const ClaimWork &work, const StoreEntry &entry, TimePoint now);

    ClaimTable &table_;
    Store &store_;
};

} // namespace Lovageloft
