#pragma once

namespace Lovageloft
{

/// Exit codes of both programs; docs/operating/command-line.md lists them.
enum ExitCode : int
{
    ExitOk = 0,
    ExitFailed = 1, ///< The call was refused or its outcome is unknown; the message says which.
    ExitUsage = 2, ///< Wrong arguments or settings; nothing was done.
    ExitUnreachable = 3, ///< The host did not respond.
};

} // namespace Lovageloft
