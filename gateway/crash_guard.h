#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/crash_quarantine.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

/// Quarantines what crashes targets, across the fleet: single requests, and parts of prompts that many requests share.
///
/// Each crash is reported, for each feature of the request, to two home hosts of the feature, chosen by rendezvous hashing, so that one of them may be
/// unreachable. A home host that has counted enough crashes of different targets or incarnations quarantines the feature for 10 minutes and notifies all
/// hosts. A host that knows the feature as sound objects, and the quarantine is lifted. A host that missed the notice is notified again when it reports
/// another crash. The host that saw the crashes also counts them itself, in case it reaches no home host.
class CrashGuard
{
public:
    /// Sends messages to other hosts, and records quarantined features for hosts that start later.
    struct Network
    {
        std::function<void(const std::string &host, const CrashReport &)> report; ///< Reports a crash to a home host.
        std::function<void(const std::string &host, const QuarantineNotice &)> notify; ///< Tells one host that a feature is quarantined.
        std::function<void(const QuarantineNotice &)> broadcast; ///< Tells all hosts that a feature is quarantined.
        std::function<void(RequestFeature)> record; ///< Writes the quarantined feature to the store.
        std::function<void(const std::string &host, const QuarantineObjection &)> object; ///< Tells a home host that a feature is sound.
        std::function<void(RequestFeature)> lift; ///< Tells all hosts that a feature is not quarantined any more.
        std::function<void()> onAdded; ///< A feature was quarantined on this host.
    };

    CrashGuard(std::string host, Network network);

    /// Sets the hosts that may be home hosts. This host need not be among them.
    void setHosts(const std::vector<std::string> &candidates);

    /// A target has answered a request with these features, or has written its answer for long.
    void noteSound(std::span<const RequestFeature> features, TimePoint now);

    /// A target has begun to answer a request.
    void noteBegun(RequestFeature request, TimePoint now);

    bool isQuarantined(RequestFeature feature, TimePoint now) const;
    std::size_t quarantinedCount(TimePoint now) const;

    /// A target that was executing a request was lost.
    void onTargetLost(const CrashReport &report, TimePoint now);

    /// A home host counts a crash that a host reported; `from` may be this host.
    void onReport(const std::string &from, const CrashReport &report, TimePoint now);

    /// Another host, which is empty for the store, reports that a feature is quarantined.
    void onQuarantined(const std::string &from, const QuarantineNotice &notice, TimePoint now);

    /// Another host objects to a notice of this host.
    void onObjection(const QuarantineObjection &objection, TimePoint now);

    /// A home host has lifted a quarantine.
    void onLifted(RequestFeature feature);

    /// Records what is quarantined and has met no objection for a moment, and repeats notices, objections and lifts, as messages may be lost. To be called a
    /// few times a second.
    void onTick(TimePoint now);

private:
    struct Unrecorded
    {
        QuarantineNotice notice;
        TimePoint addedAt;
    };

    /// Messages that are repeated a few times.
    struct RepeatedLift
    {
        RequestFeature feature{};
        int repeats = 0;
    };

    struct RepeatedObjection
    {
        QuarantineObjection objection;
        std::string receiver;
        int repeats = 0;
    };

    bool add(const QuarantineNotice &notice, bool isCounted, TimePoint now);

    std::string host_;
    Network network_;
    RendezvousNames candidates_;
    CrashQuarantine quarantine_;
    std::vector<Unrecorded> unrecorded_; ///< Quarantined by this host as a home.
    std::vector<RepeatedLift> lifts_;
    std::vector<RepeatedObjection> objections_;
};

} // namespace Lovageloft
