#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/result_code.h"
#include "gateway/request_intake.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Binds the stream of one request to the software version that sent its first event: what two versions write does not fit together, and targets
/// don't check it. Before the first event the request can go to any version.
class StreamBinding
{
public:
    /// Why the stream can't go on.
    struct Refusal
    {
        Reason reason;
        Duration retryAfter{}; ///< Zero if waiting does not help.
    };

    /// Both must outlive this object.
    StreamBinding(Gateway &gateway, const RequestIntake &intake);

    /// Finds the version that began the stream which the request resumes. `handler` is called once, possibly before this function returns, with
    /// nothing if the stream can go on. It has to keep this object alive.
    void find(std::function<void(const std::optional<Refusal> &)> handler);

    void onSent(const Target &target);

    /// Bytes of a stream have arrived from the target that the request was last sent to. Returns false if the stream is bound and the target has started
    /// again since: the bytes may be of another version and must not be used.
    bool onBytes();

    /// Events have arrived from the target that the request was last sent to.
    void onEvents();

    /// The version that began the stream; nothing before its first event, or if it is not known.
    const std::optional<std::string> &version() const;

private:
    bool isTargetReplaced() const;

    Gateway &gateway_;
    const RequestIntake &intake_;
    std::optional<std::string> version_;
    bool hasEvents_ = false; ///< An event has arrived in this attempt of the caller.
    bool hasBytes_ = false; ///< Bytes have arrived from the target that the request was last sent to.
    std::string sentTo_; ///< Id of the target that the request was last sent to.
    std::int64_t sentIncarnation_ = 0;
    std::string sentVersion_;
};

} // namespace Lovageloft
