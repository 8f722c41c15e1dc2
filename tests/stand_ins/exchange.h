#pragma once

#include <atomic>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "core/clock.h"

namespace Lovageloft::StandIns
{

/// One HTTP request at a stand-in and the ways to answer it, the faulty ones included.
class Exchange
{
public:
    /// `isStopping` ends all waits once the server is being stopped.
    Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::atomic<bool> &isStopping);

    const std::string &method() const;

    /// The path without the query.
    const std::string &path() const;

    const std::string &body() const;

    /// The value of a header field, empty if it isn't there.
    std::string header(const std::string &name) const;

    /// The value of a number in the query, `otherwise` if it isn't there or isn't a number.
    std::int64_t queryNumber(std::string_view name, std::int64_t otherwise) const;

    /// "ADDRESS:PORT" of the caller's end, which tells connections apart.
    std::string callerAddress() const;

    /// Whether the caller has hung up.
    bool isCallerGone() const;

    /// Waits until `deadline`; false as soon as the caller has hung up or the server stops.
    bool waitUntil(TimePoint deadline) const;

    /// Says nothing and keeps the connection open until the caller hangs up or the server stops.
    void freeze() const;

    /// Answers with a whole JSON document.
    void sendJson(int status, std::string_view json);

    /// Sends the head of a chunked answer; each flush of the stream sends one chunk.
    std::ostream &startStream(const std::string &contentType);

    /// Sends the head of an answer of `json`'s length and only its first half, then closes the connection.
    void sendHalf(std::string_view json);

    /// Sends a whole JSON document byte by byte, with `pause` before each.
    void trickleJson(std::string_view json, Duration pause, std::size_t pieceBytes);

    /// Closes the connection at once, whatever has been sent.
    void closeConnection();

private:
    int descriptor() const;

    Poco::Net::HTTPServerRequest &request_;
    Poco::Net::HTTPServerResponse &response_;
    const std::atomic<bool> &isStopping_;
    std::string path_;
    std::string query_;
    std::string body_;
};

} // namespace Lovageloft::StandIns
