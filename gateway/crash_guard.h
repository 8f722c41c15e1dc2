#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/crash_quarantine.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

/// Shares one host's view of requests that end their targets with the other hosts.
///
/// Each loss goes to two homes of the request, found by rendezvous hashing, so that one of them may be away; a home that has counted enough of
/// them tells all hosts. A host that missed that reports once more, and is told. The host that saw the losses counts them as well, for when
/// it reaches no home.
class CrashGuard
{
public:
    /// How other hosts and those that start later are told.
    struct Network
    {
        std::function<void(const std::string &host, const CrashReport &)> report;
        std::function<void(const std::string &host, RequestFingerprint)> notify;
        std::function<void(RequestFingerprint)> broadcast;
        std::function<void(RequestFingerprint)> record;
    };

    CrashGuard(std::string host, Network network);

    /// The hosts, with this one, that may be homes.
    void setHosts(const std::vector<std::string> &candidates);

    void noteAnswered(RequestFingerprint request);
    bool isQuarantined(RequestFingerprint request, TimePoint now) const;
    std::size_t quarantinedCount(TimePoint now) const;

    /// A target was lost that had the request and had not begun to answer it.
    void onTargetLost(const CrashReport &report, TimePoint now);

    void onReport(const std::string &from, const CrashReport &report, TimePoint now);

    /// Another host, or the store, says that the request is in quarantine.
    void onQuarantined(RequestFingerprint request, TimePoint now);

private:
    std::string host_;
    Network network_;
    RendezvousNames candidates_;
    CrashQuarantine quarantine_;
};

} // namespace Lovageloft
