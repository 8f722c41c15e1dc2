#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/path_planner.h"

namespace Lovageloft
{

/// What an attempt to connect over a link meets.
enum class ModelLink : std::uint8_t
{
    Up,
    Hangs,
    Refuses,
};

/// A model in virtual time of hosts, targets, and the links from each host to each target. Each request needs a new connection, which is made
/// on the paths that the host's PathPlanner chooses; another host that relays connects as RelayServer does.
class CutModel
{
public:
    struct Options
    {
        std::size_t hosts = 9;
        std::size_t targets = 21;
        std::size_t dataCentres = 3;
        std::uint64_t seed = 0;
        bool canRelay = true; ///< Without it, hosts have only their own links.
    };

    /// Results of the requests that came to some hosts in some span of time.
    struct Count
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t relayed = 0; ///< Of those served.
        Duration longestPath{}; ///< From the first attempt to connect to the end of the last.

        double servedShare() const
        {
            return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
        }
    };

    explicit CutModel(const Options &options);

    /// Sets the links from a host to the targets for which `isMeant` is true.
    void setLinks(std::size_t host, ModelLink link, const std::function<bool(std::size_t target)> &isMeant);
    void setTargetDown(std::size_t target, bool isDown);

    std::size_t dataCentreOf(std::size_t host) const;

    /// Lets time pass in which each host gets `requestsPerSecond` requests to random targets. Returns the results by host.
    std::vector<Count> run(Duration time, double requestsPerSecond);

    /// Whether the host believes that it has lost a link.
    bool believesLost(std::size_t host) const;

    /// Changes of what the host believes, so far.
    std::size_t changes(std::size_t host) const;

    /// Requests that each host has relayed for others, since the last call.
    std::vector<std::size_t> takeRelayed();

private:
    struct Host
    {
        std::string name;
        PathPlanner planner;
        std::vector<ModelLink> links; ///< By target.
        std::size_t changes = 0;
        std::size_t relayed = 0;
    };

    void request(std::size_t host, Count &count);
    ModelLink linkOf(std::size_t host, std::size_t target) const;
    RelayResult relay(std::size_t host, std::size_t target, TimePoint now, Duration &elapsed, std::string &suggestion);
    bool connect(std::size_t host, std::size_t target, TimePoint now, Duration &elapsed);
    void probe(std::size_t host);

    Options options_;
    Random random_;
    TimePoint now_{};
    std::vector<Host> hosts_;
    std::vector<std::string> targets_;
    std::vector<bool> isDown_; ///< By target.
    std::map<std::string, std::size_t, std::less<>> hostIndex_;
};

} // namespace Lovageloft
