#include "gateway/proof_duty.h"

namespace Lovageloft
{

namespace
{

/// A proof that a relay passes on is up to one pause old when it is asked for, and is used for another: both, and a lost datagram, fit
/// into the window.
constexpr int proofsPerWindow = 3;

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
            pause(backoff_.next());
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
        feed_.prove(revision, sentAt - reply.age);
        return true;
    }
    if (reply.status != StoreStatus::Conflict) {
        return false;
    }
    TimePoint provenAt = sentAt - reply.age;
    if (reply.entry.value.empty()) {
        provenAt = now_();
        reply = store_.get(records_.configurationKey());
    }
    if (reply.status != StoreStatus::Unavailable && !reply.entry.value.empty()) {
        feed_.take(reply.entry, provenAt);
        return true;
    }
    return false;
}

} // namespace Lovageloft
