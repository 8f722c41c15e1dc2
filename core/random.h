#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "core/clock.h"

namespace Lovageloft
{

/// The generator that the pure packages are handed; seeded, so that a run can be repeated.
using Random = boost::random::mt19937_64;

/// A number from 0 to `bound` - 1; `bound` must be above 0.
inline std::size_t randomBelow(Random &random, std::size_t bound)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// A duration from zero to `most`, which must not be negative.
inline Duration randomUpTo(Random &random, Duration most)
{
    return Duration(randomBelow(random, static_cast<std::size_t>(most.count()) + 1));
}

} // namespace Lovageloft
