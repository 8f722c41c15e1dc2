#include "drivers/http_parser.h"

#include <algorithm>
#include <limits>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace Lovageloft
{

namespace
{

namespace Http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using View = boost::beast::string_view;

std::string_view toStd(View text)
{
    return {text.data(), text.size()};
}

ResultCode codeOf(const ErrorCode &error)
{
    if (error == Http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    return error == Http::error::body_limit ? ResultCode::BodyTooLarge : ResultCode::MalformedHttp;
}

bool isDecimal(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return character >= '0' && character <= '9'; });
}

/// Whether the framing fields are unambiguous.
bool isFramingClear(const HttpHead &head, bool isRequest)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    std::size_t hosts = 0;
    for (const HttpField &field : head.fields) {
        if (equalsIgnoringCase(field.name, "Content-Length")) {
            ++lengths;
            if (!isDecimal(field.value)) {
                return false;
            }
        } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
            ++encodings;
            if (!equalsIgnoringCase(field.value, "chunked")) {
                return false;
            }
        } else if (equalsIgnoringCase(field.name, "Host")) {
            ++hosts;
        }
    }
    const bool hasHost = !isRequest || hosts == 1;
    return lengths + encodings <= 1 && hasHost && (encodings == 0 || head.version == 11);
}

} // namespace

/// A message being parsed; Beast calls the members that end in _impl.
class HttpParser::Message
{
public:
    virtual ~Message() = default;
    virtual std::size_t put(std::string_view bytes, ErrorCode &error) = 0;
    virtual void putEnd(ErrorCode &error) = 0;
    virtual bool isDone() const = 0;
    virtual bool needsEnd() const = 0;
    virtual bool hasHead() const = 0;
};

namespace
{

template <bool isRequest>
class BeastMessage : public Http::basic_parser<isRequest>
{
public:
    BeastMessage(const HttpLimits &limits, HttpEvents &events, bool isHeadReportedAtOnce)
        : events_(events)
        , isHeadReportedAtOnce_(isHeadReportedAtOnce)
    {
        constexpr std::size_t spareForStartLine = 64;
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(limits.head + spareForStartLine));
        this->body_limit(limits.body != 0 ? limits.body : std::numeric_limits<std::uint64_t>::max());
    }

protected:
    void on_request_impl(Http::verb /*method*/, View methodText, View target, int version, ErrorCode & /*error*/) override
    {
        head_.method = methodText.to_string();
        head_.path = target.to_string();
        head_.version = version;
    }

    void on_response_impl(int status, View /*reason*/, int version, ErrorCode &error) override
    {
        constexpr int minStatus = 100;
        if (status < minStatus) {
            error = Http::error::bad_status;
        }
        head_.status = status;
        head_.version = version;
    }

    void on_field_impl(Http::field /*field*/, View name, View value, ErrorCode & /*error*/) override
    {
        head_.fields.push_back({name.to_string(), value.to_string()});
    }

    void on_header_impl(ErrorCode &error) override
    {
        if (!isFramingClear(head_, isRequest)) {
            error = Http::error::bad_transfer_encoding;
        } else if (isHeadReportedAtOnce_) {
            const auto length = this->content_length();
            sendHead(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode & /*error*/) override
    {
        sendHead(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    }

    std::size_t on_body_impl(View body, ErrorCode & /*error*/) override
    {
        events_.onBody(toStd(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, View body, ErrorCode & /*error*/) override
    {
        events_.onBody(toStd(body));
        return body.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
        sendHead(0);
        events_.onEnd();
    }

private:
    void sendHead(std::optional<std::uint64_t> length)
    {
        if (!isHeadSent_) {
            isHeadSent_ = true;
            events_.onHead(std::move(head_), length);
        }
    }

    HttpEvents &events_;
    bool isHeadReportedAtOnce_;
    HttpHead head_;
    bool isHeadSent_ = false;
};

} // namespace

namespace
{

template <typename Base, bool isRequest>
class MessageOf : public Base
{
public:
    MessageOf(const HttpLimits &limits, HttpEvents &events, bool isBodyless, bool isHeadReportedAtOnce)
        : beast_(limits, events, isHeadReportedAtOnce)
    {
        beast_.skip(isBodyless);
    }

    std::size_t put(std::string_view bytes, ErrorCode &error) override
    {
        return beast_.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    }

    void putEnd(ErrorCode &error) override
    {
        beast_.put_eof(error);
    }

    bool isDone() const override
    {
        return beast_.is_done();
    }

    bool needsEnd() const override
    {
        return beast_.is_header_done() && beast_.need_eof() && !beast_.is_done();
    }

    bool hasHead() const override
    {
        return beast_.is_header_done();
    }

private:
    BeastMessage<isRequest> beast_;
};

} // namespace

HttpParser::HttpParser(HttpMessageKind kind, HttpLimits limits, HttpEvents &events)
    : kind_(kind)
    , limits_(limits)
    , events_(events)
{
}

HttpParser::~HttpParser() = default;

bool HttpParser::read(std::string_view bytes, Reason &reason)
{
    buffered_.append(bytes);
    return isComplete() || readBuffered(reason);
}

bool HttpParser::readEnd()
{
    if (message_ == nullptr || !message_->needsEnd()) {
        return false;
    }
    ErrorCode error;
    message_->putEnd(error);
    return !error && message_->isDone();
}

bool HttpParser::startNext(Reason &reason)
{
    message_.reset();
    isHeadRead_ = false;
    blankBytes_ = 0;
    searchedBytes_ = 0;
    return readBuffered(reason);
}

bool HttpParser::isWithinMessage() const
{
    return !isComplete() && (message_ != nullptr || !buffered_.empty());
}

bool HttpParser::isComplete() const
{
    return message_ != nullptr && message_->isDone();
}

std::size_t HttpParser::bufferedBytes() const
{
    return buffered_.size();
}

std::size_t HttpParser::bufferCapacity() const
{
    return buffered_.capacity();
}

void HttpParser::setLimits(HttpLimits limits)
{
    limits_ = limits;
}

void HttpParser::expectNoBody()
{
    isBodyless_ = true;
}

void HttpParser::reportHeadAtOnce()
{
    isHeadReportedAtOnce_ = true;
}

bool HttpParser::readBuffered(Reason &reason)
{
    if (!isHeadRead_ && !isHeadComplete(reason)) {
        return reason.code == ResultCode::Ok;
    }
    if (message_ == nullptr) {
        if (kind_ == HttpMessageKind::Request) {
            message_ = std::make_unique<MessageOf<Message, true>>(limits_, events_, isBodyless_, isHeadReportedAtOnce_);
        } else {
            message_ = std::make_unique<MessageOf<Message, false>>(limits_, events_, isBodyless_, isHeadReportedAtOnce_);
        }
    }
    std::size_t used = 0;
    while (used < buffered_.size() && !message_->isDone()) {
        ErrorCode error;
        const std::size_t taken = message_->put(std::string_view(buffered_).substr(used), error);
        used += taken;
        if (error == Http::error::need_more || (!error && taken == 0)) {
            break;
        }
        if (error) {
            reason = {codeOf(error), "message can't be read: " + error.message()};
            return false;
        }
    }
    buffered_.erase(0, used);
    if (buffered_.empty()) {
        std::string().swap(buffered_); // Most connections have nothing buffered most of the time.
    }
    // Beast consumes bodies at once. What is left is the line of a chunk's size, or the trailers, of which Beast takes only whole ones, however long.
    if (!message_->isDone() && buffered_.size() > limits_.head) {
        reason = {ResultCode::HeaderTooLarge, "chunk header or trailers are longer than a head may be"};
        return false;
    }
    return true;
}

/// Checks the raw bytes, as Beast joins folded lines.
bool HttpParser::isHeadComplete(Reason &reason)
{
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";
    reason = {};
    std::size_t blank = 0;
    while (std::string_view(buffered_).substr(blank).starts_with(lineEnd)) {
        blank += lineEnd.size();
    }
    buffered_.erase(0, blank);
    blankBytes_ += blank;
    const std::size_t end = buffered_.find(headEnd, searchedBytes_);
    const std::size_t size = std::min(end, buffered_.size());
    if (size > limits_.head || blankBytes_ > limits_.head) {
        reason = {ResultCode::HeaderTooLarge, "head is longer than allowed"};
        return false;
    }
    if (end == std::string::npos) {
        searchedBytes_ = buffered_.size() - std::min(buffered_.size(), headEnd.size() - 1);
        return false;
    }
    const std::string_view head = std::string_view(buffered_).substr(0, end);
    for (std::size_t i = 0; i < head.size(); ++i) {
        const bool isBareFeed = head[i] == '\n' && (i == 0 || head[i - 1] != '\r');
        const bool isBareReturn = head[i] == '\r' && (i + 1 < head.size() && head[i + 1] != '\n');
        const bool isFolded = head[i] == '\n' && i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
        if (head[i] == '\0' || isBareFeed || isBareReturn || isFolded) {
            reason = {ResultCode::MalformedHttp, "head holds a folded line or a stray control character"};
            return false;
        }
    }
    isHeadRead_ = true;
    return true;
}

} // namespace Lovageloft
