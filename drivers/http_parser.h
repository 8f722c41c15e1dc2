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

/// Takes the pieces of a message as they are read.
class HttpEvents
{
public:
    HttpEvents() = default;
    HttpEvents(const HttpEvents &) = delete;
    HttpEvents &operator=(const HttpEvents &) = delete;
    virtual ~HttpEvents() = default;

    /// The head is complete. `bodyBytes` is the declared length of the body; nothing for a chunked or unframed one.
    virtual void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
};

enum class HttpMessageKind : std::uint8_t
{
    Request,
    Answer,
};

/// Sizes in bytes beyond which a message is refused.
struct HttpLimits
{
    std::size_t head = 16'384;
    std::uint64_t body = 0; ///< 0: any.
};

/// Reads HTTP/1.1 messages piece by piece, one after another, by Boost.Beast's parser. Stricter than that where two readers could
/// see different messages in the same bytes: what goes wrong otherwise is that a caller hides a second request inside the body
/// of a first one, and a target runs it under another team's name. So two lengths, a length beside chunks, encodings other
/// than "chunked", folded lines, bare line feeds and zero bytes in a head are refused. After an error nothing more is read.
class HttpParser
{
public:
    HttpParser(HttpMessageKind kind, HttpLimits limits, HttpEvents &events);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Takes bytes and reads up to the end of the message begun; what follows is kept for `startNext`. False with
    /// MalformedHttp, HeaderTooLarge or BodyTooLarge on a message that can't be read.
    bool read(std::string_view bytes, Reason &reason);

    /// The sender has closed its side. True if that ends an answer without a length.
    bool readEnd();

    /// After the end of a message: begins the next with the bytes kept.
    bool startNext(Reason &reason);

    /// Whether a message has begun and not ended.
    bool isWithinMessage() const;

    bool isComplete() const;

    /// Bytes after the end of the message, or of a head not complete yet.
    std::size_t keptBytes() const;

    void setLimits(HttpLimits limits);

    /// The answer to a HEAD request has no body whatever its fields say.
    void expectNoBody();

private:
    class Message;

    bool readKept(Reason &reason);
    bool isHeadComplete(Reason &reason);

    HttpMessageKind kind_;
    HttpLimits limits_;
    HttpEvents &events_;
    std::unique_ptr<Message> message_;
    std::string kept_;
    bool isHeadRead_ = false;
    bool isBodyless_ = false;
};

} // namespace Lovageloft
