#include "gateway/configuration_feed.h"

#include "core/log.h"

namespace Lovageloft
{

ConfigurationFeed::ConfigurationFeed(const StoreRecords &records, Listeners listeners)
    : records_(records)
    , listeners_(std::move(listeners))
{
}

void ConfigurationFeed::apply(const StoreEntry &entry, TimePoint provenAt)
{
    apply(entry, provenAt, {});
}

void ConfigurationFeed::apply(const StoreEntry &entry, TimePoint provenAt, const ReadContext &context)
{
    const std::lock_guard lock(mutex_);
    if (entry.key == records_.configurationKey()) {
        applyConfiguration(entry, provenAt);
    } else if (records_.isWeightsKey(entry.key) && !entry.isDeleted) {
        applyWeights(entry, context);
    } else if (entry.key.starts_with(records_.rolloutPrefix())) {
        applyRollout(entry, context);
    }
}

void ConfigurationFeed::confirm(std::int64_t revision, TimePoint provenAt)
{
    const std::lock_guard lock(mutex_);
    listeners_.onProof(revision, provenAt);
}

void ConfigurationFeed::noteNewer(std::int64_t revision)
{
    const std::lock_guard lock(mutex_);
    if (revision > revision_ && listeners_.onNewerExists) {
        listeners_.onNewerExists(revision);
    }
}

std::int64_t ConfigurationFeed::revision() const
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

void ConfigurationFeed::applyConfiguration(const StoreEntry &entry, TimePoint provenAt)
{
    if (entry.revision <= revision_) {
        return;
    }
    Reason reason;
    auto table = entry.isDeleted ? std::nullopt : records_.parseConfiguration(entry, reason);
    if (!table) {
        // The last valid configuration stays in force, but can no longer be proven to be the newest.
        writeLog(LogLevel::Error, "configuration_unreadable", {{"revision", entry.revision}, {"reason", reason.text}});
        return;
    }
    revision_ = entry.revision;
    listeners_.onConfiguration(std::make_shared<const RoutingTable>(std::move(*table)), provenAt);
}

void ConfigurationFeed::applyWeights(const StoreEntry &entry, const ReadContext &context)
{
    Reason reason;
    auto weights = records_.parseWeights(entry, reason);
    if (!weights) {
        writeLog(LogLevel::Warning, "weights_unreadable", {{"key", entry.key}, {"reason", reason.text}});
        return;
    }
    // A pending watch returns when the change is made. If the publication time were that of the watch request, up to three seconds earlier,
    // engines that may still be used would be excluded too early.
    weights->publishedAt = BootClock::now();
    weights->wereFoundAtStartup = context.isFirstRead;
    weights->silence = context.silence;
    listeners_.onWeights(*weights);
}

void ConfigurationFeed::applyRollout(const StoreEntry &entry, const ReadContext &context)
{
    const std::string service = entry.key.substr(records_.rolloutPrefix().size());
    if (entry.isDeleted) {
        listeners_.onRolloutWithdrawn(service);
        return;
    }
    Reason reason;
    const auto order = records_.parseRollout(entry, reason);
    if (!order) {
        writeLog(LogLevel::Warning, "rollout_unreadable", {{"key", entry.key}, {"revision", entry.revision}, {"reason", reason.text}});
    }
    SeenRolloutOrder seen{order.value_or(RolloutOrder{service, {}, {}}), entry.revision, {}};
    if (!context.isFirstRead) {
        seen.seenAt = BootClock::now() - context.silence;
    }
    listeners_.onRollout(service, seen);
}

} // namespace Lovageloft
