#include "gateway/proof_duty.h"

namespace Lovageloft
{

namespace
{

/// A proof that a relay passes on is up to one pause old when it is asked for, and is used for another: both, and a lost datagram, fit
/// into the window.
constexpr int proofsPerWindow = 3;

/// How long a configuration of which another host has told only the revision is waited for before the store is asked: the watch brings it,
/// and all hosts would ask for each change.
constexpr Duration watchPatience = std::chrono::milliseconds(600);

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
            pause(window_ / proofsPerWindow);
        } else {
            pause(backoff_.nextDelay());
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
        if (sentAt - *outdatedSince_ < watchPatience) {
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
