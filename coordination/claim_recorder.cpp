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
    const auto update = table_.nextUpdate(now);
    if (!update) {
        return false;
    }
    if (update->revision == 0) {
        lookUp(*update, now);
    } else {
        write(*update, now);
    }
    return true;
}

void ClaimRecorder::lookUp(const ClaimUpdate &update, TimePoint now)
{
    const StoreReply reply = store_.get(update.key);
    if (reply.status == StoreStatus::Ok) {
        onRecordRead(update, reply.entry, now);
        return;
    }
    // A claim write whose answer was lost may still take effect later. The table keeps a claim that was never sent until no such
    // write can be in flight, so that it can tell peers that the call was not sent.
    const bool isGone = reply.status == StoreStatus::NotFound && !update.isDeletion;
    if (isGone) {
        table_.onUpdateDone(update.nonce);
    } else {
        table_.onUpdateFailed(update.nonce, 0, now);
    }
}

void ClaimRecorder::write(const ClaimUpdate &update, TimePoint now)
{
    const StoreReply reply = update.isDeletion ? store_.compareAndDelete(update.key, update.revision)
                                               : store_.compareAndSwap(update.key, update.revision, update.value, update.leaseId);
    if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
        table_.onUpdateDone(update.nonce);
        return;
    }
    table_.onUpdateFailed(update.nonce, reply.status == StoreStatus::Unavailable ? update.revision : 0, now);
}

void ClaimRecorder::onRecordRead(const ClaimUpdate &update, const StoreEntry &entry, TimePoint now)
{
    Reason reason;
    const auto record = parseClaimRecord(entry.value, reason);
    const bool isOurs = record && record->nonce == update.nonce;
    const bool isWritten = isOurs && entry.value == update.value;
    if (!isOurs && update.isDeletion) {
        table_.onUpdateFailed(update.nonce, 0, now);
    } else if (!isOurs || isWritten) {
        table_.onUpdateDone(update.nonce);
    } else {
        table_.onUpdateFailed(update.nonce, entry.revision, now);
    }
}

} // namespace Lovageloft
