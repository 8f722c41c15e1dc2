#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/crash_quarantine.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

/// Quarantines requests that crash their targets, across the fleet.
///
/// Each crash is reported to two home hosts of the request, chosen by rendezvous hashing, so that one of them may be unreachable. A home host that has
/// counted three crashes of different targets or incarnations quarantines the request for 10 minutes and notifies all hosts. A host that missed this is
/// notified again when it reports another crash. The host that saw the crashes also counts them itself, in case it reaches no home host.
class CrashGuard
{
public:
    /// Sends messages to other hosts, and records quarantined requests for hosts that start later.
    struct Network
    {
        std::function<void(const std::string &host, const CrashReport &)> report; ///< Reports a crash to a home host.
        std::function<void(const std::string &host, RequestFeature)> notify; ///< Tells one host that the request is quarantined.
        std::function<void(RequestFeature)> broadcast; ///< Tells all hosts that the request is quarantined.
        std::function<void(RequestFeature)> record; ///< Writes the quarantined request to the store.
    };

    CrashGuard(std::string host, Network network);

    /// Sets the hosts that may be home hosts. This host need not be among them.
    void setHosts(const std::vector<std::string> &candidates);

    /// A target responded to the request, at least in part: it will not be reported or quarantined.
    void noteAnswered(RequestFeature request);
    bool isQuarantined(RequestFeature request, TimePoint now) const;
    std::size_t quarantinedCount(TimePoint now) const;

    /// A target that was executing the request was lost before it began to respond.
    void onTargetLost(const CrashReport &report, TimePoint now);

    /// A home host counts a crash that a host reported; `from` may be this host.
    void onReport(const std::string &from, const CrashReport &report, TimePoint now);

    /// Another host or the store reports that the request is quarantined.
    void onQuarantined(RequestFeature request, TimePoint now);

private:
    std::string host_;
    Network network_;
    RendezvousNames candidates_;
    CrashQuarantine quarantine_;
};

} // namespace Lovageloft
