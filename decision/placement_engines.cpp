#include "decision/placement.h"

#include <algorithm>

/// The engines that placement knows.
namespace Lovageloft
{

std::optional<EngineIndex> Placement::allocateIndex()
{
    if (engines_.size() < maxEngines) {
        engines_.emplace_back();
        return static_cast<EngineIndex>(engines_.size() - 1);
    }
    // Indexes are reused only after all were allocated, the one free for longest first, so that no late event or answer still refers to the previous engine.
    if (freeIndexes_.empty()) {
        return std::nullopt;
    }
    const EngineIndex index = freeIndexes_.front();
    freeIndexes_.pop_front();
    return index;
}

void Placement::updateEngine(EngineIndex index, const EngineStatus &status)
{
    Engine &engine = engines_[index];
    const bool hasNewWeights = engine.isListed && engine.modelVersion != status.modelVersion;
    engine.name = status.name;
    engine.isListed = true;
    engine.isServing = status.isServing;
    engine.isRemote = status.isRemote;
    engine.firstTokenDeadline = status.firstTokenDeadline;
    engine.modelVersion = status.modelVersion;
    engine.group = status.group;
    engine.position = EnginePartition::positionOf(rendezvousId(status.name));
    engine.prefillSecondsPerToken = 1 / std::max(1.0, status.prefillTokensPerSecond);
    engine.batchLimit = status.batchLimit;
    engine.cache.setCapacity(status.cacheTokens);
    if (status.incarnation > engine.incarnation) {
        clearCacheAndLoad(index, status.incarnation);
    } else if (hasNewWeights) {
        view_.removeEngine(index);
        view_.setIncarnation(index, engine.incarnation);
        engine.cache.clear();
    }
}

void Placement::removeEngine(EngineIndex index)
{
    view_.removeEngine(index);
    health_.reset(index);
    setBacklog(engines_[index], 0);
    const std::uint32_t epoch = engines_[index].epoch;
    engines_[index] = Engine{.epoch = epoch + 1};
    freeIndexes_.push_back(index);
}

void Placement::rebuildVersions(std::span<const EngineStatus> engines)
{
    versions_.clear();
    for (auto &[id, group] : adaptiveGroups_) {
        group.engineCount = 0;
    }
    for (const EngineStatus &status : engines) {
        const std::optional<EngineIndex> index = findEngine(status.name);
        if (!index || !status.isServing || status.weight <= 0) {
            continue;
        }
        if (AdaptiveGroup *group = findGroup(status.group)) {
            ++group->engineCount;
        }
        auto version = std::find_if(versions_.begin(), versions_.end(), [&status](const Version &known) { return known.id == status.modelVersion; });
        if (version == versions_.end()) {
            versions_.push_back({.id = status.modelVersion, .group = status.group, .nodes = {}, .localNodes = {}});
            version = std::prev(versions_.end());
        }
        version->nodes.push_back({.engine = *index, .id = rendezvousId(status.name), .inverseWeight = static_cast<float>(1 / status.weight)});
        if (!status.isRemote) {
            version->localNodes.push_back(version->nodes.back());
        }
    }
    const auto isBefore = [](const RendezvousNode &left, const RendezvousNode &right) { return left.id < right.id; };
    for (Version &version : versions_) {
        std::sort(version.nodes.begin(), version.nodes.end(), isBefore);
        std::sort(version.localNodes.begin(), version.localNodes.end(), isBefore);
    }
}

} // namespace Lovageloft
