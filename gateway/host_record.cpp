#include "gateway/host_record.h"

#include <charconv>
#include <cmath>

#include "core/words.h"

namespace Lovageloft
{

namespace
{

constexpr double thousandthsPerUnit = 1'000;

double parseThousandths(std::string_view word)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
    return error == std::errc() && end == word.data() + word.size() ? value / thousandthsPerUnit : 0;
}

std::string thousandthsText(double value)
{
    return std::to_string(std::llround(value * thousandthsPerUnit));
}

} // namespace

std::string hostRecordText(const HostRecord &record)
{
    return hostAddressText(record.address) + ' ' + thousandthsText(record.capacity.cores) + ' ' + thousandthsText(record.capacity.linkMegabitsPerSecond) + ' '
        + record.dataCentre;
}

std::optional<HostRecord> parseHostRecord(std::string_view text)
{
    const auto address = parseHostAddress(consumeWord(text));
    if (!address) {
        return std::nullopt;
    }
    const double cores = parseThousandths(consumeWord(text));
    const double megabits = parseThousandths(consumeWord(text));
    return HostRecord{*address, {cores, megabits}, std::string(text)};
}

std::map<std::string, HostCapacity> capacitiesOf(const std::map<std::string, HostRecord> &hosts)
{
    std::map<std::string, HostCapacity> capacities;
    for (const auto &[name, record] : hosts) {
        capacities.emplace(name, record.capacity);
    }
    return capacities;
}

} // namespace Lovageloft
