#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "drivers/http_parser.h"

namespace Lovageloft
{

/// Collects one response from the bytes that a connection delivers, for clients that wait for them. A response counts as complete only if its framing
/// says so: one that ends within its head, before its declared length or before its last chunk does not. Responses with a 1xx status are skipped.
class HttpAnswerCollector final : private HttpEvents
{
public:
    /// `hasBody` is false for the response to a HEAD request, which has no body whatever its fields say.
    explicit HttpAnswerCollector(HttpLimits limits, bool hasBody = true);

    /// Adds received bytes. Returns false with MalformedHttp, HeaderTooLarge or BodyTooLarge if they are no valid response.
    bool read(std::string_view bytes, Reason &reason);

    /// The sender has closed its side. Returns whether the response is complete.
    bool readEnd();

    bool hasHead() const;
    const HttpHead &head() const;

    /// The declared length of the body; not set if it is chunked or ends with the connection.
    std::optional<std::uint64_t> bodyBytes() const;

    /// Bytes of the body that have arrived and were not removed yet. The owner may remove them.
    std::string &body();

    bool isComplete() const;

    /// Whether a next request may be sent on the connection: the response is complete, nothing follows it, and the sender keeps the connection.
    bool isConnectionKept() const;

private:
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    HttpParser parser_;
    HttpHead head_;
    std::optional<std::uint64_t> bodyBytes_;
    std::string body_;
    bool hasHead_ = false;
    bool endsWithConnection_ = false;
    bool isComplete_ = false;
};

} // namespace Lovageloft
