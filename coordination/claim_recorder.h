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
    void lookUp(const ClaimUpdate &update, TimePoint now);
    void write(const ClaimUpdate &update, TimePoint now);
    void onRecordRead(const ClaimUpdate &update, const StoreEntry &entry, TimePoint now);

    ClaimTable &table_;
    Store &store_;
};

} // namespace Lovageloft
