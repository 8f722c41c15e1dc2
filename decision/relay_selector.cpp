#include "decision/relay_selector.h"

#include <algorithm>
#include <array>

namespace Lovageloft
{

namespace
{

constexpr Duration avoidTime = std::chrono::seconds(1);
constexpr Duration preferTime = std::chrono::seconds(2);

/// With fewer hosts than this that have relayed lately, others are tried as well.
constexpr std::size_t minPreferredHosts = 3;

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
    enum Rank : std::size_t
    {
        Preferred,
        Near,
        Far,
        RankCount
    };

    std::array<std::vector<std::string_view>, RankCount> ranked;
    std::size_t preferredCount = 0;
    for (const auto &[name, record] : hosts_) {
        const bool isPreferred = now < record.preferUntil;
        preferredCount += isPreferred ? 1 : 0;
        if (now < record.avoidUntil || std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
            continue;
        }
        const Rank otherRank = record.dataCentre == dataCentre_ ? Near : Far;
        ranked.at(isPreferred ? Preferred : otherRank).push_back(name);
    }
    std::size_t first = Preferred;
    if (preferredCount < minPreferredHosts && (!ranked[Near].empty() || !ranked[Far].empty())) {
        first = randomBelow(random, 2) == 0 ? Preferred : Near; // Finds further hosts, so that the load is shared.
    }
    for (std::size_t i = 0; i < RankCount; ++i) {
        const auto &names = ranked.at((first + i) % RankCount);
        if (!names.empty()) {
            return std::string(names[randomBelow(random, names.size())]);
        }
    }
    return std::nullopt;
}

void RelaySelector::onRelayed(std::string_view host, TimePoint now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        found->second.preferUntil = now + preferTime;
        found->second.avoidUntil = {};
    }
}

void RelaySelector::onFailed(std::string_view host, TimePoint now)
{
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        found->second.preferUntil = {};
        found->second.avoidUntil = now + avoidTime;
    }
}

bool RelaySelector::isEmpty() const
{
    return hosts_.empty();
}

} // namespace Lovageloft
