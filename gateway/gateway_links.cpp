#include "gateway/gateway.h"

#include <algorithm>

#include <boost/asio/post.hpp>

/// What the gateway's parts call in each other.
namespace Lovageloft
{

RelayServer::Links Gateway::relayLinks()
{
    return {[this](const boost::asio::ip::address &address) {
                return std::any_of(hosts_.begin(), hosts_.end(), [text = address.to_string()](const auto &host) { return host.second.address.host == text; });
            },
            [this](std::string_view targetId) {
                const auto found = directory_.all().find(targetId);
                return found != directory_.all().end() ? std::optional(found->second.address) : std::nullopt;
            },
            [this](std::string_view targetId) { return paths_.links().isPresumedLost(targetId); },
            [this](std::string_view targetId) { return paths_.links().isOwnLinkLost(targetId); },
            [this](std::string_view targetId, ConnectResult result) { paths_.onConnectResult(targetId, result, BootClock::now()); },
            [this] { return paths_.suggestion(BootClock::now()); }};
}

TargetStatements::Links Gateway::statementLinks()
{
    return {[this](const std::string &home, const PermitRequest &request) { fleet_.requestPermit(home, request); },
            [this](std::span<const StatementTable::Update> updates) { fleet_.announceStatements(updates); },
            [this] { dispatch_.onPermitValid(); },
            [this] { boost::asio::post(loop_, [this] { applyTargets(); }); },
            {[this](const std::string &home, const SlotReport &report) { fleet_.sendSlotReport(home, report); },
             [this](const std::string &host, const SlotGrant &grant) { fleet_.sendSlotGrant(host, grant); }}};
}

StreamVersions::Links Gateway::streamLinks()
{
    return {{[this](const std::string &host, const StreamRecord &record) { fleet_.sendStreamRecord(host, record); },
             [this](const std::string &host, const StreamQuery &query) { fleet_.queryStream(host, query); }},
            [this] {
                const TimePoint now = BootClock::now();
                return isTableProofRecent(now) ? fleet_.syncedUntil(now) : TimePoint{};
            }};
}

Rollouts::Links Gateway::rolloutLinks()
{
    return {[this](const std::string &host, const RolloutReport &report) { fleet_.sendRolloutReport(host, report); },
            [this](const auto &candidates) {
                directory_.setCandidates(candidates);
                dispatch_.invalidateEngines();
            },
            [this](std::string_view service, std::string_view version) {
                return dispatch_.countRunning(service, [this, version](std::string_view id) {
                    const Target *target = directory_.find(id);
                    return target != nullptr && target->softwareVersion != version;
                });
            }};
}

} // namespace Lovageloft
