#pragma once

#include <cstddef>
#include <functional>

namespace Lovageloft
{

/// Runs `call` for each index below `count` concurrently, each on its own thread, and returns when all calls have ended. Meant for a small
/// number of blocking network calls: made one after another, calls to peers that answer would wait for calls to peers that do not. `call`
/// must not throw.
void callInParallel(std::size_t count, const std::function<void(std::size_t index)> &call);

} // namespace Lovageloft
