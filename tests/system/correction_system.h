#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tests/system/system_fixture.h"

namespace Lovageloft
{

/// A call that may not be repeated, and what its caller saw over all its tries.
struct Correction
{
    std::string key; ///< Idempotency-Key.
    std::string body;
    int tries = 0;
    bool lastWasNotRun = false; ///< The last try was refused with "not_run".
    std::vector<std::string> answers; ///< Bodies of the answers with status 200.
};

/// A deployment with two services that carry out corrections.
class CorrectionSystem : public SystemFixture
{
public:
    explicit CorrectionSystem(std::size_t engines = 0);

    static Correction makeCorrection(std::string key);

    /// One try at a host.
    CallerAnswer lodge(Correction &correction, std::size_t host) const;

    /// How often a correction was executed, by all services together.
    std::int64_t executions(const Correction &correction);

    /// Checks what must hold after the last try, whatever happened.
    void check(const Correction &correction);

    /// Plans a fault on all services.
    void planServiceFault(std::string_view json);

    static constexpr std::size_t services = 2;
};

} // namespace Lovageloft
