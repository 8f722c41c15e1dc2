#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "core/clock.h"

namespace Lovageloft
{

/// The random generator that `coordination/` and `decision/` get as a parameter. Seeded, so that a run can be repeated.
using Random = boost::random::mt19937_64;

/// A uniformly distributed number from 0 to `bound` - 1; `bound` must be positive.
inline std::size_t randomBelow(Random &random, std::size_t bound)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// A uniformly distributed duration from zero to `max`, which must not be negative.
inline Duration randomUpTo(Random &random, Duration max)
{
    return Duration(randomBelow(random, static_cast<std::size_t>(max.count()) + 1));
}

} // namespace Lovageloft
