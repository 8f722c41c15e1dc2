#include "tests/stand_ins/exchange.h"

#include <charconv>
#include <sys/socket.h>
#include <thread>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

namespace Lovageloft::StandIns
{

namespace
{

/// Interval between checks whether the caller has closed the connection.
constexpr Duration hangUpCheckInterval = std::chrono::milliseconds(20);

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

} // namespace

Exchange::Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::atomic<bool> &isStopping)
    : request_(request)
    , response_(response)
    , isStopping_(isStopping)
{
    const std::string &uri = request.getURI();
    const std::size_t mark = uri.find('?');
    path_ = uri.substr(0, mark);
    query_ = mark == std::string::npos ? "" : uri.substr(mark + 1);
    Poco::StreamCopier::copyToString(request.stream(), body_);
}

const std::string &Exchange::method() const
{
    return request_.getMethod();
}

const std::string &Exchange::path() const
{
    return path_;
}

const std::string &Exchange::body() const
{
    return body_;
}

std::string Exchange::header(const std::string &name) const
{
    return request_.get(name, "");
}

std::int64_t Exchange::queryNumber(std::string_view name, std::int64_t fallback) const
{
    const std::string field = std::string(name) + "=";
    const std::size_t found = ("&" + query_).find("&" + field);
    if (found == std::string::npos) {
        return fallback;
    }
    const char *begin = query_.data() + found + field.size();
    std::int64_t value = fallback;
    std::from_chars(begin, query_.data() + query_.size(), value);
    return value;
}

std::string Exchange::callerAddress() const
{
    return request_.clientAddress().toString();
}

bool Exchange::isCallerGone() const
{
    char byte = 0;
    const ssize_t received = ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

bool Exchange::waitUntil(TimePoint deadline) const
{
    while (!isStopping_ && !isCallerGone()) {
        const Duration left = deadline - BootClock::now();
        if (left <= Duration::zero()) {
            return true;
        }
        std::this_thread::sleep_for(std::min(left, hangUpCheckInterval));
    }
    return false;
}

void Exchange::freeze() const
{
    while (waitUntil(BootClock::now() + hangUpCheckInterval)) {
    }
}

void Exchange::sendJson(int status, std::string_view json)
{
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentType("application/json");
    response_.sendBuffer(json.data(), json.size());
}

std::ostream &Exchange::startStream(const std::string &contentType)
{
    response_.setContentType(contentType);
    response_.setChunkedTransferEncoding(true);
    return response_.send();
}

void Exchange::sendHalf(std::string_view json)
{
    response_.setContentType("application/json");
    response_.setContentLength64(static_cast<Poco::Int64>(json.size()));
    response_.send() << json.substr(0, json.size() / 2) << std::flush;
    closeConnection();
}

void Exchange::trickleJson(std::string_view json, Duration pause, std::size_t pieceBytes)
{
    response_.setContentType("application/json");
    response_.setContentLength64(static_cast<Poco::Int64>(json.size()));
    std::ostream &out = response_.send();
    while (!json.empty()) {
        const std::string_view piece = json.substr(0, pieceBytes);
        json.remove_prefix(piece.size());
        if (!waitUntil(BootClock::now() + pause) || !(out << piece << std::flush)) {
            closeConnection();
            return;
        }
    }
}

void Exchange::closeConnection()
{
    response_.setKeepAlive(false);
    ::shutdown(descriptor(), SHUT_RDWR);
}

int Exchange::descriptor() const
{
    return socketOf(request_).impl()->sockfd();
}

} // namespace Lovageloft::StandIns
