#include "decision/relay_selector.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr Duration avoidTime = std::chrono::seconds(1);
constexpr unsigned maxAvoidDoublings = 2;
constexpr Duration preferTime = std::chrono::seconds(2);

/// With fewer hosts than this that have relayed lately, one attempt in three goes to another, so that the load is shared.
constexpr std::size_t minPreferredHosts = 8;
constexpr std::size_t attemptsPerExploration = 3;

} // namespace

void RelaySelector::setHosts(std::span<const RelayHost> hosts, std::string_view dataCentre)
{
    std::map<std::string, Record, std::less<>> records;
    for (const RelayHost &host : hosts) {
        const auto known = hosts_.find(host.name);
        Record record = known != hosts_.end() ? known->second : Record{};
        record.dataCentre = host.dataCentre;
        records.emplace(host.name, std::move(record));
    }
    hosts_ = std::move(records);
    dataCentre_ = dataCentre;
}

std::optional<std::string> RelaySelector::choose(std::span<const std::string> excluded, TimePoint now, Random &random) const
{
    std::vector<std::string_view> preferred;
    std::vector<std::string_view> near;
    std::vector<std::string_view> others;
    for (const auto &[name, record] : hosts_) {
        if (now < record.avoidUntil || std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
            continue;
        }
        if (now < record.preferUntil) {
            preferred.push_back(name);
            continue;
        }
        others.push_back(name);
        if (record.dataCentre == dataCentre_) {
            near.push_back(name);
        }
    }
    const bool isFirstAttempt = excluded.empty();
    const bool explores = isFirstAttempt && preferred.size() < minPreferredHosts && randomBelow(random, attemptsPerExploration) == 0;
    const std::vector<std::string_view> &unproven = isFirstAttempt && !near.empty() ? near : others;
    const std::vector<std::string_view> &names = preferred.empty() || (explores && !unproven.empty()) ? unproven : preferred;
    return names.empty() ? std::nullopt : std::optional<std::string>(names[randomBelow(random, names.size())]);
}

std::vector<std::string_view> RelaySelector::preferredHosts(TimePoint now) const
{
    std::vector<std::string_view> names;
    for (const auto &[name, record] : hosts_) {
        if (now < record.preferUntil) {
            names.push_back(name);
        }
    }
    return names;
}

std::string RelaySelector::suggestion(TimePoint now, Random &random) const
{
    const std::vector<std::string_view> names = preferredHosts(now);
    return names.empty() ? std::string() : std::string(names[randomBelow(random, names.size())]);
}

void RelaySelector::onSuggested(std::string_view host, TimePoint now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end() && now >= found->second.avoidUntil && preferredHosts(now).empty()) {
        found->second.preferUntil = now + preferTime;
    }
}

void RelaySelector::onRelayed(std::string_view host, TimePoint now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        found->second.preferUntil = now + preferTime;
        found->second.avoidUntil = {};
        found->second.failures = 0;
    }
}

void RelaySelector::onFailed(std::string_view host, TimePoint now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        found->second.preferUntil = {};
        found->second.avoidUntil = now + avoidTime * (1U << std::min(found->second.failures, maxAvoidDoublings));
        ++found->second.failures;
    }
}

std::size_t RelaySelector::size() const
{
    return hosts_.size();
}

} // namespace Lovageloft
