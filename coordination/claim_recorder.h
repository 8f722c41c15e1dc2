#pragma once

#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// Writes the ends of claims to the store, with one call per step, and retries until it succeeds. Until then the table answers
/// queries about them. Not thread-safe.
class ClaimRecorder
{
public:
    ClaimRecorder(ClaimTable &table, Store &store);

    /// Makes at most one call to the store. Returns false if nothing is due.
    bool step(TimePoint now);

private:
    void lookUp(const ClaimUpdate &update, TimePoint now);
    void write(const ClaimUpdate &update, TimePoint now);
    void onRecordRead(const ClaimUpdate &update, const StoreEntry &entry, TimePoint now);

    ClaimTable &table_;
    Store &store_;
};

} // namespace Lovageloft
