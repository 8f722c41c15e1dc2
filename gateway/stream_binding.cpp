#include "gateway/stream_binding.h"

#include <utility>

#include "gateway/gateway.h"
#include "gateway/request_limits.h"

namespace Lovageloft
{

namespace
{

std::optional<StreamBinding::Refusal> refusalFor(StreamOrigins::Knowledge knowledge)
{
    switch (knowledge) {
    case StreamOrigins::Knowledge::Unlisted:
        return StreamBinding::Refusal{{ResultCode::NoTarget, "no target runs the version that began the stream"}, noVersionRetryAfter};
    case StreamOrigins::Knowledge::Unknown:
        return StreamBinding::Refusal{{ResultCode::StreamUnknown, "it is not known which version began the stream"}, Duration::zero()};
    case StreamOrigins::Knowledge::Known:
        break;
    }
    return std::nullopt;
}

} // namespace

StreamBinding::StreamBinding(Gateway &gateway, const RequestIntake &intake)
    : gateway_(gateway)
    , intake_(intake)
{
}

void StreamBinding::find(std::function<void(const std::optional<Refusal> &)> handler)
{
    gateway_.streams().find(intake_, [this, handler = std::move(handler)](const StreamOrigins::Origin &origin) {
        if (origin.knowledge == StreamOrigins::Knowledge::Known) {
            version_ = origin.version;
        }
        handler(refusalFor(origin.knowledge));
    });
}

void StreamBinding::onSent(const Target &target)
{
    sentTo_ = target.id;
    sentIncarnation_ = target.incarnation;
    sentVersion_ = target.softwareVersion;
    hasBytes_ = false;
}

bool StreamBinding::onBytes()
{
    const bool isFirst = !std::exchange(hasBytes_, true);
    return !isFirst || !version_ || !isTargetReplaced();
}

void StreamBinding::onEvents()
{
    if (std::exchange(hasEvents_, true)) {
        return;
    }
    if (!version_ && !isTargetReplaced()) {
        version_ = sentVersion_;
    }
    if (version_ && intake_.route()->isResumable) {
        gateway_.streams().onBegun(intake_, *version_);
    }
}

const std::optional<std::string> &StreamBinding::version() const
{
    return version_;
}

/// Whether the target that the request was last sent to is listed as another incarnation by now. Which of both sent the bytes is then not known.
bool StreamBinding::isTargetReplaced() const
{
    const auto listed = gateway_.targets().all().find(sentTo_);
    return listed != gateway_.targets().all().end() && listed->second.incarnation != sentIncarnation_;
}

} // namespace Lovageloft
