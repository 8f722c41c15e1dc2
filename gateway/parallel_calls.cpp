#include "gateway/parallel_calls.h"

#include <thread>
#include <vector>

namespace Lovageloft
{

void callInParallel(std::size_t count, const std::function<void(std::size_t index)> &call)
{
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        threads.emplace_back(call, index);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace Lovageloft
