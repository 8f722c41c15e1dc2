#include "gateway/parallel_calls.h"

#include <thread>
#include <vector>

namespace Lovageloft
{

void callInParallel(std::size_t count, const std::function<void(std::size_t number)> &call)
{
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        threads.emplace_back(call, number);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace Lovageloft
