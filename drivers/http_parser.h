#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"
#include "drivers/http_message.h"

namespace Lovageloft
{

/// Receives the parts of a message as they are parsed.
class HttpEvents
{
public:
    HttpEvents() = default;
    HttpEvents(const HttpEvents &) = delete;
    HttpEvents &operator=(const HttpEvents &) = delete;
    virtual ~HttpEvents() = default;

    /// The head is complete. `bodyBytes` is the declared length of the body; not set if it is chunked or ends with the connection.
    virtual void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
};

enum class HttpMessageKind : std::uint8_t
{
    Request,
    Answer,
};

/// Maximum sizes of a message in bytes.
struct HttpLimits
{
    std::size_t head = 16'384; ///< Also of the blank lines before a head, of each line with a chunk's size, and of the trailers.
    std::uint64_t body = 0; ///< 0 for no limit.
};

/// Incremental parser for consecutive HTTP/1.1 messages, based on Boost.Beast's parser. It is stricter than that where two parsers could find
/// different messages in the same bytes: otherwise a caller could hide a second request in the body of the first (request smuggling), and a target
/// would run it as another team. Rejected are two lengths, a length with chunks, encodings other than "chunked", folded lines, bare line feeds, and
/// zero bytes in a head. After an error nothing more is parsed.
class HttpParser
{
public:
    HttpParser(HttpMessageKind kind, HttpLimits limits, HttpEvents &events);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Parses bytes up to the end of the current message; further bytes are buffered for `startNext`. Returns false with MalformedHttp,
    /// HeaderTooLarge or BodyTooLarge if the message is rejected.
    bool read(std::string_view bytes, Reason &reason);

    /// The sender has closed its side. Returns whether that completes a response without a length.
    bool readEnd();

    /// After the end of a message: starts the next one with the buffered bytes.
    bool startNext(Reason &reason);

    /// Whether a message has begun and is incomplete.
    bool isWithinMessage() const;

    bool isComplete() const;

    /// Number of buffered bytes: after the end of the message, or of an incomplete head.
    std::size_t bufferedBytes() const;

    /// Memory of the buffered bytes, which may be more than their number.
    std::size_t bufferCapacity() const;

    void setLimits(HttpLimits limits);

    /// Calls HttpEvents::onHead() as soon as the head is complete. Otherwise that waits for the first byte of the body, if there is one.
    void reportHeadAtOnce();

    /// Expects a response to a HEAD request, which has no body regardless of its fields.
    void expectNoBody();

private:
    class Message;

    bool readBuffered(Reason &reason);
    bool isHeadComplete(Reason &reason);

    HttpMessageKind kind_;
    HttpLimits limits_;
    HttpEvents &events_;
    std::unique_ptr<Message> message_;
    std::string buffered_;
    std::size_t blankBytes_ = 0; ///< Blank lines skipped before the current head.
    std::size_t searchedBytes_ = 0; ///< Buffered bytes in which no end of the head begins.
    bool isHeadRead_ = false;
    bool isBodyless_ = false;
    bool isHeadReportedAtOnce_ = false;
};

} // namespace Lovageloft
