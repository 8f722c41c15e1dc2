#include "gateway/host_record.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Lovageloft
{

namespace
{

constexpr double thousandths = 1'000;

/// Takes the first word off the text.
std::string_view takeWord(std::string_view &text)
{
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

double parseThousandths(std::string_view word)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
    return error == std::errc() && end == word.data() + word.size() ? value / thousandths : 0;
}

std::string textOf(double value)
{
    return std::to_string(std::llround(value * thousandths));
}

} // namespace

std::string hostRecordText(const HostRecord &record)
{
    return hostAddressText(record.address) + ' ' + textOf(record.capacity.cores) + ' ' + textOf(record.capacity.linkMegabitsPerSecond) + ' '
        + record.dataCentre;
}

std::optional<HostRecord> parseHostRecord(std::string_view text)
{
    const auto address = parseHostAddress(takeWord(text));
    if (!address) {
        return std::nullopt;
    }
    const double cores = parseThousandths(takeWord(text));
    const double megabits = parseThousandths(takeWord(text));
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
