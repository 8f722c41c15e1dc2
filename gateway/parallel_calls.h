#pragma once

#include <cstddef>
#include <functional>

namespace Lovageloft
{

/// Runs `call` for each number below `count`, all at the same time on threads of their own, and returns when all have ended. For a few calls that
/// wait for others to answer: one after another, those that answer wait for those that don't.
void callInParallel(std::size_t count, const std::function<void(std::size_t number)> &call);

} // namespace Lovageloft
