#pragma once

#include "coordination/backoff.h"

namespace Lovageloft
{

/// The delays between retries of a duty whose calls to the store fail.
Backoff storeBackoff();

} // namespace Lovageloft
