#include "decision/placement.h"

#include <algorithm>

/// How placement adapts to engines that share their machines with others: learned times, paces, and the division between short and long prompts.
namespace Lovageloft
{

namespace
{

/// Assumed part of the time to the first token that does not depend on the prompt.
constexpr double assumedFixedSeconds = 0.02;
constexpr Duration groupUpdateInterval = std::chrono::milliseconds(100);

} // namespace

void Placement::enableAdaptation(EngineGroup id)
{
    const auto member = std::find_if(engines_.begin(), engines_.end(), [id](const Engine &engine) { return engine.isListed && engine.group == id; });
    if (member == engines_.end() || adaptiveGroups_.contains(id)) {
        return;
    }
    const double secondsPerToken = member->prefillSecondsPerToken;
    const double secondsPerPair = policy_.attentionParityTokens > 0 ? secondsPerToken / policy_.attentionParityTokens : 0;
    AdaptiveGroup &group = adaptiveGroups_.emplace(id, AdaptiveGroup({assumedFixedSeconds, secondsPerToken, secondsPerPair})).first->second;
    for (const Version &version : versions_) {
        group.engineCount += version.group == id ? version.nodes.size() : 0;
    }
}

const AdaptiveGroup *Placement::adaptiveGroup(EngineGroup id) const
{
    const auto group = adaptiveGroups_.find(id);
    return group == adaptiveGroups_.end() ? nullptr : &group->second;
}

AdaptiveGroup *Placement::findGroup(EngineGroup id)
{
    const auto group = adaptiveGroups_.find(id);
    return group == adaptiveGroups_.end() ? nullptr : &group->second;
}

void Placement::updateGroup(AdaptiveGroup &group, TimePoint now)
{
    if (now - group.updatedAt < groupUpdateInterval) {
        return;
    }
    group.updatedAt = now;
    group.times.update(now);
    group.partition.update(group.engineCount, now);
}

void Placement::onPaceStated(EngineIndex engine, double pace, TimePoint now)
{
    engines_[engine].pace.onStated(pace, now);
}

void Placement::mergeStatistics(EngineGroup id, std::uint64_t host, const TimeStatistics &statistics, TimePoint now)
{
    if (AdaptiveGroup *group = findGroup(id)) {
        group->times.mergeStatistics(host, statistics, now);
    }
}

/// Whether the request is a long prompt and the engine is for short ones. Long prompts then wait at the host for the others: one of them there would hold up
/// the short responses of the engine.
bool Placement::isKeptFree(const Choice &choice, const Engine &engine) const
{
    return choice.group != nullptr && classOf(*choice.request) == PromptClass::Long && !choice.group->partition.serves(engine.position, PromptClass::Long);
}

/// Adds the engine time of `count` prompts to the demand that the engine's group is divided by.
void Placement::addWork(const Engine &engine, PromptClass promptClass, double prefillSeconds, double count, TimePoint now)
{
    if (AdaptiveGroup *group = findGroup(engine.group)) {
        const double generation = group->generationSeconds.at(static_cast<std::size_t>(promptClass));
        group->partition.addWork(promptClass, count * (prefillSeconds + generation / std::max(1.0, engine.batchLimit)), now);
    }
}

/// The engines of which some are drawn at random for the request: those for its class, or all if there are none.
std::span<const RendezvousNode> Placement::drawnNodes(const Choice &choice, std::span<const RendezvousNode> nodes) const
{
    if (choice.group == nullptr || !choice.group->partition.isDivided()) {
        return nodes;
    }
    const double boundary = choice.group->partition.boundary();
    const auto first =
        std::partition_point(nodes.begin(), nodes.end(), [&](const RendezvousNode &node) { return EnginePartition::positionOf(node.id) < boundary; });
    const auto shortCount = static_cast<std::size_t>(first - nodes.begin());
    const auto own = classOf(*choice.request) == PromptClass::Short ? nodes.first(shortCount) : nodes.subspan(shortCount);
    return own.empty() ? nodes : own;
}

} // namespace Lovageloft
