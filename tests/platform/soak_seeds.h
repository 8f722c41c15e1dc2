#pragma once

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <string>
#include <vector>

namespace Lovageloft
{

/// A number from the environment, for long runs by hand. To be read before any thread starts.
inline std::uint64_t numberFromEnvironment(const std::string &name, std::uint64_t fallback)
{
    const char *text = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe): read before any thread starts.
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

/// The seeds of a soak: 1 and 2, or as PREFIX_FIRST_SEED and PREFIX_SEEDS say.
inline std::vector<std::uint64_t> soakSeeds(const std::string &prefix)
{
    std::vector<std::uint64_t> seeds(numberFromEnvironment(prefix + "_SEEDS", 2));
    std::iota(seeds.begin(), seeds.end(), numberFromEnvironment(prefix + "_FIRST_SEED", 1));
    return seeds;
}

} // namespace Lovageloft
