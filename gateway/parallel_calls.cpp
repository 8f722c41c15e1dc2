#include "gateway/parallel_calls.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace Lovageloft
{

void callInParallel(std::size_t count, std::size_t mostAtOnce, const std::function<void(std::size_t number)> &call)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t number = next++; number < count; number = next++) {
            call(number);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < std::min(count, mostAtOnce); ++i) {
        threads.emplace_back(work);
    }
    work();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace Lovageloft
