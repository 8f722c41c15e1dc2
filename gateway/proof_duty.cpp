#include "gateway/proof_duty.h"

namespace Lovageloft
{

namespace
{

/// Proofs per window. A relayed proof is up to one interval old when requested and is used for another interval. With three intervals both,
/// and one lost datagram, fit into the window.
constexpr int proofsPerWindow = 3;

/// How long to wait for the watch to deliver a configuration of which another host reported only the revision, before reading it from
/// the store. Without the wait, all hosts would read the store on each change.
constexpr Duration watchGracePeriod = std::chrono::milliseconds(600);

} // namespace

ProofDuty::ProofDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed, Duration window, Now now)
    : store_(store)
    , records_(records)
    , feed_(feed)
    , window_(window)
    , now_(std::move(now))
{
}

void ProofDuty::run()
{
    while (!isStopped()) {
        if (prove()) {
            backoff_.reset();
            sleepFor(window_ / proofsPerWindow);
        } else {
            sleepFor(backoff_.nextDelay());
        }
    }
}

bool ProofDuty::prove()
{
    const std::int64_t revision = feed_.revision();
    if (revision == 0) {
        return false;
    }
    const TimePoint sentAt = now_();
    StoreReply reply = store_.confirm(records_.configurationKey(), revision);
    if (reply.status == StoreStatus::Ok) {
        outdatedSince_.reset();
        feed_.confirm(revision, sentAt - reply.age);
        return true;
    }
    if (reply.status != StoreStatus::Conflict) {
        return false;
    }
    feed_.noteNewer(reply.entry.revision);
    outdatedSince_ = outdatedSince_.value_or(sentAt);
    TimePoint provenAt = sentAt - reply.age;
    if (reply.entry.value.empty()) {
        if (sentAt - *outdatedSince_ < watchGracePeriod) {
            return false;
        }
        provenAt = now_();
        reply = store_.get(records_.configurationKey());
    }
    if (reply.status != StoreStatus::Unavailable && !reply.entry.value.empty()) {
        outdatedSince_.reset();
        feed_.apply(reply.entry, provenAt);
        return true;
    }
    return false;
}

} // namespace Lovageloft
