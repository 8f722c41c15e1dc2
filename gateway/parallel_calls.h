#pragma once

#include <cstddef>
#include <functional>

namespace Lovageloft
{

/// Runs `call` for each number below `count`, on threads of its own, no more than `mostAtOnce` at the same time, and returns when all have
/// ended. For calls that wait for others to answer: one after another, those that answer wait for those that don't.
void callInParallel(std::size_t count, std::size_t mostAtOnce, const std::function<void(std::size_t number)> &call);

} // namespace Lovageloft
