#pragma once

#include "coordination/backoff.h"

namespace Lovageloft
{

/// The pauses of a duty whose calls to the store fail.
Backoff storeBackoff();

} // namespace Lovageloft
