#pragma once

#include <string>

#include "core/clock.h"
#include "gateway/status_server.h"

namespace Lovageloft
{

class Gateway;

/// What operators may read of a running host, as JSON objects that `lovageloftctl` prints: its status, teams, targets and hosts, and who
/// leads. Nothing of it names a key or a prompt, so it needs none itself. For the event loop only.
class OperatorView
{
public:
    explicit OperatorView(const Gateway &gateway);

    /// The answer to a call; 404 for a path that names none.
    StatusAnswer answer(std::string_view path) const;

private:
    std::string status() const;
    std::string teams() const;
    std::string targets() const;
    std::string hosts() const;
    std::string leader() const;

    const Gateway &gateway_;
};

} // namespace Lovageloft
