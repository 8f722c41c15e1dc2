#include "gateway/rollout_codec.h"

#include <algorithm>

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

using Counts = capnp::List<std::uint32_t>;

void writeCounts(Counts::Builder list, const AnswerCounts &counts)
{
    for (unsigned i = 0; i < counts.answered.size(); ++i) {
        list.set(i, counts.answered[i]);
    }
    list.set(static_cast<unsigned>(counts.answered.size()), counts.failed);
}

AnswerCounts readCounts(Counts::Reader list)
{
    AnswerCounts counts;
    for (unsigned i = 0; i < std::min<unsigned>(list.size(), counts.answered.size()); ++i) {
        counts.answered[i] = list[i];
    }
    counts.failed = list.size() > counts.answered.size() ? list[static_cast<unsigned>(counts.answered.size())] : 0;
    return counts;
}

} // namespace

std::string encodeRolloutReport(const RolloutReport &report)
{
    constexpr unsigned countsPerVersion = AnswerCounts::bucketCount + 1;
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initRolloutReport();
    encoded.setId(report.id);
    encoded.setService(report.service);
    encoded.setOrder(report.progress.order);
    encoded.setPosition(report.progress.position);
    encoded.setOrderAgeMilliseconds(report.progress.orderAge ? toMillis(*report.progress.orderAge) : -1);
    encoded.setOtherInFlight(report.progress.otherInFlight);
    encoded.setProcess(report.usage.process);
    encoded.setRequests(report.usage.requests);
    encoded.setExposed(report.usage.exposed);
    encoded.setAllowance(report.usage.allowance);
    auto routes = encoded.initRoutes(static_cast<unsigned>(report.evidence.routes.size()));
    for (unsigned i = 0; i < routes.size(); ++i) {
        const RouteEvidence &route = report.evidence.routes[i];
        routes[i].setRoute(route.route);
        writeCounts(routes[i].initServing(countsPerVersion), route.serving);
        writeCounts(routes[i].initCandidate(countsPerVersion), route.candidate);
    }
    auto targets = encoded.initTargets(static_cast<unsigned>(report.evidence.targets.size()));
    for (unsigned i = 0; i < targets.size(); ++i) {
        const TargetEvidence &target = report.evidence.targets[i];
        targets[i].setTarget(target.target);
        targets[i].setAnswers(target.answers);
        targets[i].setBad(target.bad);
    }
    return encodeDatagram(message);
}

std::string encodeRolloutReply(const RolloutReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initRolloutReply();
    encoded.setId(reply.grant.reportId);
    encoded.setService(reply.service);
    encoded.setOrder(reply.grant.order);
    encoded.setPosition(reply.grant.position);
    encoded.setValidMilliseconds(static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMillis(reply.grant.validFor))));
    encoded.setAllowance(reply.allowance);
    auto excluded = encoded.initExcludedTargets(static_cast<unsigned>(reply.excludedTargets.size()));
    for (unsigned i = 0; i < excluded.size(); ++i) {
        excluded.set(i, reply.excludedTargets[i]);
    }
    return encodeDatagram(message);
}

RolloutReport readRolloutReport(PeerMessages::RolloutReport::Reader reader)
{
    RolloutReport report;
    report.id = reader.getId();
    report.service = reader.getService();
    report.progress.order = reader.getOrder();
    report.progress.position = reader.getPosition();
    constexpr std::int64_t maxAgeMilliseconds = 1'000'000'000;
    if (reader.getOrderAgeMilliseconds() >= 0) {
        report.progress.orderAge = std::chrono::milliseconds(std::min(reader.getOrderAgeMilliseconds(), maxAgeMilliseconds));
    }
    report.progress.otherInFlight = reader.getOtherInFlight();
    report.usage = {reader.getProcess(), reader.getRequests(), reader.getExposed(), reader.getAllowance()};
    report.evidence.process = reader.getProcess();
    for (const auto route : reader.getRoutes()) {
        report.evidence.routes.push_back({route.getRoute(), readCounts(route.getServing()), readCounts(route.getCandidate())});
    }
    for (const auto target : reader.getTargets()) {
        report.evidence.targets.push_back({target.getTarget(), target.getAnswers(), target.getBad()});
    }
    return report;
}

RolloutReply readRolloutReply(PeerMessages::RolloutReply::Reader reader)
{
    RolloutReply reply;
    reply.service = reader.getService();
    reply.grant = {reader.getId(), reader.getOrder(), reader.getPosition(), std::chrono::milliseconds(reader.getValidMilliseconds())};
    reply.allowance = reader.getAllowance();
    for (const std::uint64_t target : reader.getExcludedTargets()) {
        reply.excludedTargets.push_back(target);
    }
    return reply;
}

} // namespace Lovageloft
