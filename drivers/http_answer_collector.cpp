#include "drivers/http_answer_collector.h"

#include <utility>

namespace Lovageloft
{

namespace
{

constexpr int firstFinalStatus = 200;

} // namespace

HttpAnswerCollector::HttpAnswerCollector(HttpLimits limits, bool hasBody)
    : parser_(HttpMessageKind::Answer, limits, *this)
{
    parser_.reportHeadAtOnce();
    if (!hasBody) {
        parser_.expectNoBody();
    }
}

bool HttpAnswerCollector::read(std::string_view bytes, Reason &reason)
{
    if (!parser_.read(bytes, reason)) {
        return false;
    }
    while (parser_.isComplete() && !isComplete_) {
        if (!parser_.startNext(reason)) {
            return false;
        }
    }
    return true;
}

bool HttpAnswerCollector::readEnd()
{
    if (!isComplete_ && parser_.readEnd()) {
        endsWithConnection_ = true;
    }
    return isComplete_;
}

bool HttpAnswerCollector::hasHead() const
{
    return hasHead_;
}

const HttpHead &HttpAnswerCollector::head() const
{
    return head_;
}

std::optional<std::uint64_t> HttpAnswerCollector::bodyBytes() const
{
    return bodyBytes_;
}

std::string &HttpAnswerCollector::body()
{
    return body_;
}

bool HttpAnswerCollector::isComplete() const
{
    return isComplete_;
}

bool HttpAnswerCollector::isConnectionKept() const
{
    const bool isClosing = head_.hasToken("Connection", "close") || (head_.version < 11 && !head_.hasToken("Connection", "keep-alive"));
    return isComplete_ && !endsWithConnection_ && !isClosing && parser_.bufferedBytes() == 0;
}

void HttpAnswerCollector::onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes)
{
    if (head.status < firstFinalStatus) {
        return;
    }
    hasHead_ = true;
    head_ = std::move(head);
    bodyBytes_ = bodyBytes;
}

void HttpAnswerCollector::onBody(std::string_view bytes)
{
    body_.append(bytes);
}

void HttpAnswerCollector::onEnd()
{
    isComplete_ = hasHead_;
}

} // namespace Lovageloft
