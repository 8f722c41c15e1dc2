#pragma once

#include <string>

#include <Poco/JSON/Object.h>

#include "core/clock.h"
#include "gateway/status_server.h"

namespace Lovageloft
{

class Gateway;
struct Target;

/// The state of a running host for operators, as JSON objects that `lovageloftctl` prints: the host's status, and
/// the teams, targets, hosts and leader that it knows. The paths begin with "/operator/".
/// No API key is required to read them, as they contain no keys and no prompts. For use on the event loop only.
class OperatorView
{
public:
    explicit OperatorView(const Gateway &gateway);

    /// Answers a request for `path`; with 404 if the path is unknown.
    StatusAnswer answer(std::string_view path) const;

private:
    std::string status() const;
    std::string teams() const;
    /// A row for each model of a target; one for a target without models.
    std::string targets() const;
    Poco::JSON::Object::Ptr targetRow(const Target &target, const std::string &model) const;
    std::string hosts() const;
    std::string leader() const;
    std::string rollouts() const;

    const Gateway &gateway_;
};

} // namespace Lovageloft
