#include "coordination/claim_recorder.h"

namespace Lovageloft
{

ClaimRecorder::ClaimRecorder(ClaimTable &table, Store &store)
    : table_(table)
    , store_(store)
{
}

bool ClaimRecorder::step(TimePoint now)
{
    const auto work = table_.nextWork(now);
    if (!work) {
        return false;
    }
    if (work->revision == 0) {
        lookUp(*work, now);
    } else {
        write(*work, now);
    }
    return true;
}

void ClaimRecorder::lookUp(const ClaimWork &work, TimePoint now)
{
    const StoreReply reply = store_.get(work.key);
    if (reply.status == StoreStatus::Ok) {
        onSeen(work, reply.entry, now);
        return;
    }
    // A write whose answer was lost may still take effect after this: the table goes on vouching for a claim that
    // was never sent until no such write can be on its way.
    const bool isGone = reply.status == StoreStatus::NotFound && !work.isDeletion;
    if (isGone) {
        table_.onWorkDone(work.nonce);
    } else {
        table_.onWorkFailed(work.nonce, 0, now);
    }
}

void ClaimRecorder::write(const ClaimWork &work, TimePoint now)
{
    const StoreReply reply =
        work.isDeletion ? store_.compareAndDelete(work.key, work.revision) : store_.compareAndSwap(work.key, work.revision, work.value, work.leaseId);
    if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
        table_.onWorkDone(work.nonce);
        return;
    }
    table_.onWorkFailed(work.nonce, reply.status == StoreStatus::Unavailable ? work.revision : 0, now);
}

void ClaimRecorder::onSeen(const ClaimWork &work, const StoreEntry &entry, TimePoint now)
{
    Reason reason;
    const auto record = parseClaimRecord(entry.value, reason);
    const bool isOurs = record && record->nonce == work.nonce;
    const bool isWritten = isOurs && entry.value == work.value;
    if (!isOurs && work.isDeletion) {
        table_.onWorkFailed(work.nonce, 0, now);
    } else if (!isOurs || isWritten) {
        table_.onWorkDone(work.nonce);
    } else {
        table_.onWorkFailed(work.nonce, entry.revision, now);
    }
}

} // namespace Lovageloft
