#include "servers/caller_connection.h"

#include <array>
#include <numeric>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include "core/digest.h"
#include "core/log.h"
#include "servers/caller_routes.h"
#include "servers/refusal.h"
#include "servers/service_handler.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t idBytes = 12;
constexpr std::size_t readSize = 65'536;
constexpr std::size_t bodyReadSize = 262'144;

/// What a connection holds that has received nothing: its thread, and the library's buffers.
constexpr std::size_t connectionBytes = 65'536;

/// The largest head that the library accepts, with its limits for the target, and for the number of fields, their names and their values.
constexpr std::size_t maxHeadBytes = 16'384 + 100 * (256 + 8'192);

/// A body is held as received, parsed, and as sent to its target.
constexpr std::size_t copiesOfBody = 3;

/// When a caller may come back whose body did not fit.
constexpr Duration memoryRetryAfter = std::chrono::seconds(1);

/// Poco names what is wrong with a header only in words.
ResultCode codeOf(const Poco::Net::MessageException &error)
{
    const std::string &text = error.message();
    const bool isTooLarge = text.find("Too many") != std::string::npos || text.find("too long") != std::string::npos;
    return isTooLarge ? ResultCode::HeaderTooLarge : ResultCode::MalformedHttp;
}

std::size_t headBytes(const Poco::Net::HTTPRequest &request)
{
    return std::accumulate(request.begin(), request.end(), request.getURI().size(), [](std::size_t sum, const auto &field) {
        return sum + field.first.size() + field.second.size();
    });
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket, RouterParts &parts, Poco::Net::HTTPServerParams::Ptr params)
    : TCPServerConnection(socket)
    , parts_(parts)
    , params_(std::move(params))
    , descriptor_(socket.impl()->sockfd())
{
}

void CallerConnection::run()
{
    try {
        socket().setNoDelay(true);
        CallerMemory::Reservation memory(parts_.callerMemory, CallerMemoryUse::Connection);
        if (!memory.growTo(connectionBytes)) {
            countRequest(parts_.metrics, ResultCode::Overloaded);
            return;
        }
        Poco::Net::HTTPServerSession session(socket(), params_);
        parts_.deadlines.setIdle(descriptor_);
        while (session.hasMoreRequests() && serve(session)) {
            parts_.deadlines.setIdle(descriptor_);
        }
        closeGently();
    } catch (const std::exception &error) {
        writeLog(LogLevel::Debug, "caller_connection_ended", {{"cause", std::string_view(error.what())}});
    }
    parts_.deadlines.remove(descriptor_);
}

bool CallerConnection::serve(Poco::Net::HTTPServerSession &session)
{
    parts_.deadlines.setArriving(descriptor_, std::chrono::milliseconds(parts_.settings.headerTimeout));
    CallerMemory::Reservation head(parts_.callerMemory, CallerMemoryUse::Connection);
    if (!head.growTo(maxHeadBytes)) {
        parts_.deadlines.setServing(descriptor_);
        refuseUnread(session, ResultCode::Overloaded);
        return false;
    }
    try {
        Poco::Net::HTTPServerResponseImpl response(session);
        Poco::Net::HTTPServerRequestImpl request(response, session, params_.get());
        head.shrinkTo(headBytes(request));
        const bool keepsAlive = request.getKeepAlive() && parts_.drain.phase() == DrainPhase::Serving;
        response.setVersion(request.getVersion());
        response.setKeepAlive(keepsAlive);
        session.setKeepAlive(keepsAlive);
        return answer(request, response) && response.getKeepAlive();
    } catch (const Poco::Net::NoMessageException &) {
        if (!parts_.deadlines.setServing(descriptor_)) {
            refuseUnread(session, ResultCode::CallerTooSlow);
        }
    } catch (const Poco::Net::MessageException &error) {
        const bool isInTime = parts_.deadlines.setServing(descriptor_);
        refuseUnread(session, isInTime ? codeOf(error) : ResultCode::CallerTooSlow);
    } catch (const Poco::TimeoutException &) {
        refuseUnread(session, ResultCode::CallerTooSlow);
    }
    return false;
}

bool CallerConnection::answer(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response)
{
    CallerExchange exchange{"req-" + randomHex(idBytes), request, response, {}, descriptor_, {}};
    const auto refuseAndClose = [&](const Reason &reason) {
        const Duration retryAfter = reason.code == ResultCode::Overloaded ? memoryRetryAfter : Duration::zero();
        countRequest(parts_.metrics, reason.code);
        sendRefusal(response, {reason, RunState::NotRun, retryAfter}, exchange.id, false);
        return false;
    };
    if (request.size() > static_cast<std::size_t>(parts_.settings.headerFieldLimit)) {
        return refuseAndClose({ResultCode::HeaderTooLarge, {}});
    }
    if (request.hasContentLength() && request.getContentLength64() > parts_.settings.bodyLimit) {
        return refuseAndClose({ResultCode::BodyTooLarge, {}});
    }
    CallerMemory::Reservation memory(parts_.callerMemory, CallerMemoryUse::Body);
    if (request.hasContentLength() && !memory.growTo(copiesOfBody * static_cast<std::size_t>(request.getContentLength64()))) {
        return refuseAndClose({ResultCode::Overloaded, "no memory is left for the request's body"});
    }
    if (request.getExpectContinue()) {
        response.sendContinue();
    }
    Reason reason;
    auto body = readBody(request, request.session(), memory, reason);
    const bool isInTime = parts_.deadlines.setServing(descriptor_);
    if (!isInTime) {
        return refuseAndClose({ResultCode::CallerTooSlow, {}});
    }
    if (!body) {
        return refuseAndClose(reason);
    }
    exchange.body = std::move(*body);
    exchange.arrival = BootClock::now();
    const DrainState::Running running(parts_.drain);
    if (parts_.drain.phase() == DrainPhase::Closing) {
        countRequest(parts_.metrics, ResultCode::Draining);
        sendRefusal(response, {{ResultCode::Draining, {}}, ServiceHandler::runStateBeforeClaim(exchange)}, exchange.id, false);
        return false;
    }
    routeCallerExchange(parts_, exchange);
    return true;
}

std::optional<std::string>
CallerConnection::readBody(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerSession &session, CallerMemory::Reservation &memory, Reason &reason)
{
    const auto limit = static_cast<std::size_t>(parts_.settings.bodyLimit);
    std::string body;
    if (request.hasContentLength()) {
        return readBodyOfLength(static_cast<std::size_t>(request.getContentLength64()), session, reason);
    }
    std::istream &in = request.stream();
    while (in.good()) {
        const std::size_t end = body.size();
        if (!memory.growTo(copiesOfBody * (end + readSize))) {
            reason = {ResultCode::Overloaded, "no memory is left for the request's body"};
            return std::nullopt;
        }
        body.resize(end + readSize);
        in.read(body.data() + end, readSize);
        body.resize(end + static_cast<std::size_t>(in.gcount()));
        if (body.size() > limit) {
            reason = {ResultCode::BodyTooLarge, {}};
            return std::nullopt;
        }
    }
    return body;
}

/// Reads past Poco's stream, which would take a long prompt in calls of 4 KB.
std::optional<std::string> CallerConnection::readBodyOfLength(std::size_t length, Poco::Net::HTTPServerSession &session, Reason &reason)
{
    // Room for the parser to look past the end, so that it need not copy the body.
    constexpr std::size_t parserRoom = 256;
    std::string body;
    body.reserve(length + parserRoom);
    Poco::Buffer<char> buffered(0);
    session.drainBuffer(buffered);
    body.assign(buffered.begin(), std::min(buffered.size(), length));
    try {
        while (body.size() < length) {
            const std::size_t end = body.size();
            body.resize(std::min(length, end + bodyReadSize));
            const int count = session.socket().receiveBytes(body.data() + end, static_cast<int>(body.size() - end));
            body.resize(end + static_cast<std::size_t>(std::max(count, 0)));
            if (count <= 0) {
                break;
            }
        }
    } catch (const Poco::Exception &error) {
        writeLog(LogLevel::Debug, "caller_body_cut", {{"cause", std::string_view(error.what())}});
        body.clear();
    }
    if (body.size() < length) {
        reason = {ResultCode::MalformedHttp, "the body is shorter than announced"};
        return std::nullopt;
    }
    return body;
}

void CallerConnection::refuseUnread(Poco::Net::HTTPServerSession &session, ResultCode code)
{
    countRequest(parts_.metrics, code);
    Poco::Net::HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    sendRefusal(response, {{code, {}}, RunState::NotRun, code == ResultCode::Overloaded ? memoryRetryAfter : Duration::zero()}, "", false);
}

void CallerConnection::closeGently()
{
    // Closing a socket with bytes unread resets the connection, and the caller loses the answer that tells it why.
    constexpr std::size_t mostDrained = 4'194'304;
    const Poco::Timespan limit(0, 500'000);
    std::array<char, 16'384> buffer{};
    try {
        socket().shutdownSend();
        socket().setReceiveTimeout(limit);
        std::size_t drained = 0;
        for (int count = 1; count > 0 && drained < mostDrained; drained += static_cast<std::size_t>(count)) {
            count = socket().receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        }
    } catch (const Poco::Exception &error) {
        writeLog(LogLevel::Debug, "caller_connection_cut", {{"cause", std::string_view(error.what())}});
    }
}

} // namespace Lovageloft
