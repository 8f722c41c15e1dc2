#include "coordination/rollout_record.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "core/words.h"

namespace Lovageloft
{

namespace
{

/// In the order of RolloutPhase.
constexpr std::array<std::string_view, 4> phaseNames{"running", "switching", "completed", "rolled_back"};

bool consumeNumber(std::string_view &text, std::int64_t &number)
{
    const std::string_view word = consumeWord(text);
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    return error == std::errc() && end == word.data() + word.size() && number >= 0;
}

} // namespace

std::string_view rolloutPhaseName(RolloutPhase phase)
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

std::string rolloutRecordText(const RolloutRecord &record)
{
    return std::to_string(record.position) + ' ' + std::string(rolloutPhaseName(record.phase)) + ' ' + std::to_string(record.stage) + ' '
        + std::to_string(record.order) + ' ' + std::to_string(toMillis(record.elapsed)) + ' ' + record.version;
}

std::optional<RolloutRecord> parseRolloutRecord(std::string_view text)
{
    RolloutRecord record;
    std::int64_t stage = 0;
    std::int64_t milliseconds = 0;
    if (!consumeNumber(text, record.position)) {
        return std::nullopt;
    }
    const auto phase = std::find(phaseNames.begin(), phaseNames.end(), consumeWord(text));
    constexpr std::int64_t maxStage = 100;
    constexpr std::int64_t maxMilliseconds = 1'000'000'000;
    if (phase == phaseNames.end() || !consumeNumber(text, stage) || stage > maxStage || !consumeNumber(text, record.order) || !consumeNumber(text, milliseconds)
        || milliseconds > maxMilliseconds || text.empty()) {
        return std::nullopt;
    }
    record.phase = static_cast<RolloutPhase>(phase - phaseNames.begin());
    record.stage = static_cast<int>(stage);
    record.elapsed = std::chrono::milliseconds(milliseconds);
    record.version = text;
    return record;
}

} // namespace Lovageloft
