#include "tests/system/stream_outcome.h"

#include <array>
#include <string_view>

#include "tests/stand_ins/completion_checker.h"

namespace Lovageloft
{

std::ostream &operator<<(std::ostream &out, StreamOutcome outcome)
{
    constexpr std::array<std::string_view, 5> names{"whole", "ended with error", "refused", "broken", "misleading"};
    return out << names.at(static_cast<std::size_t>(outcome));
}

StreamOutcome judgeStream(const CallerAnswer &answer, std::int64_t tokens)
{
    constexpr int okStatus = 200;
    constexpr std::string_view start = "data: ";
    if (answer.status != okStatus) {
        return answer.status == 0 ? StreamOutcome::Broken : StreamOutcome::Refused;
    }
    StandIns::CompletionChecker checker("", tokens, true);
    std::string_view rest = answer.body;
    while (rest.starts_with(start)) {
        const std::size_t end = rest.find("\n\n");
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view event = rest.substr(start.size(), end - start.size());
        rest.remove_prefix(end + 2);
        if (event.starts_with(R"({"error")")) {
            return rest.empty() ? StreamOutcome::EndedWithError : StreamOutcome::Misleading;
        }
        if (!checker.addEvent(event)) {
            return StreamOutcome::Misleading;
        }
    }
    if (checker.isComplete()) {
        return StreamOutcome::Whole;
    }
    return answer.isWhole ? StreamOutcome::Misleading : StreamOutcome::Broken;
}

} // namespace Lovageloft
