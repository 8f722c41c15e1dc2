#pragma once

#include "coordination/backoff.h"

namespace Lovageloft
{

/// The delays between retries of a duty whose calls to the store fail: from 50 to 400 ms.
Backoff storeBackoff();

} // namespace Lovageloft
