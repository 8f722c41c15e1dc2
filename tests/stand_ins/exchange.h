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

/// One HTTP request received by a stand-in, with functions for correct and faulty responses.
class Exchange
{
public:
    /// All waits end once `isStopping` is set.
    Exchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::atomic<bool> &isStopping);

    const std::string &method() const;

    /// The path without the query.
    const std::string &path() const;

    const std::string &body() const;

    /// The value of a header field; empty if there is none.
    std::string header(const std::string &name) const;

    /// A number in the query; `fallback` if it is missing or no number.
    std::int64_t queryNumber(std::string_view name, std::int64_t fallback) const;

    /// "ADDRESS:PORT" of the caller, which identifies the connection.
    std::string callerAddress() const;

    /// Whether the caller has closed the connection.
    bool isCallerGone() const;

    /// Waits until `deadline`. Returns false as soon as the caller closes the connection or the server stops.
    bool waitUntil(TimePoint deadline) const;

    /// Sends nothing and keeps the connection open until the caller closes it or the server stops.
    void freeze() const;

    /// Responds with a JSON document.
    void sendJson(int status, std::string_view json);

    /// Sends the head of a chunked response. Each flush of the returned stream sends one chunk.
    std::ostream &startStream(const std::string &contentType);

    /// Sends the head of a response with the length of `json`, then only the first half of it, and closes the connection.
    void sendHalf(std::string_view json);

    /// Sends a JSON document in pieces of `pieceBytes`, with `pause` before each.
    void trickleJson(std::string_view json, Duration pause, std::size_t pieceBytes);

    /// Closes the connection immediately, even within a response.
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
