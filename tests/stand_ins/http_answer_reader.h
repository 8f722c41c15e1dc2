#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <Poco/Net/StreamSocket.h>

namespace Lovageloft::StandIns
{

/// Reads HTTP responses from a socket in pieces as they arrive, so that the time of each piece can be measured.
/// Throws Poco exceptions for timeouts, and Poco::DataFormatException for a truncated or malformed response.
class HttpAnswerReader
{
public:
    explicit HttpAnswerReader(const Poco::Net::StreamSocket &socket);

    /// Reads the head of the next response and returns its status.
    int readHead();

    /// Appends the next piece of the body to `out`. Returns false once the body is complete.
    bool readSome(std::string &out);

    /// A field of the head by its name in lower case; empty if there is none.
    std::string header(const std::string &name) const;

private:
    std::string readLine();
    void receive();
    void consume(std::string &out, std::size_t &left);

    Poco::Net::StreamSocket socket_;
    std::string buffer_; ///< Received bytes; those before `position_` were consumed.
    std::size_t position_ = 0;
    std::map<std::string, std::string> fields_;
    bool isChunked_ = false;
    std::size_t bytesLeft_ = 0; ///< Of the body, or of the current chunk.
};

} // namespace Lovageloft::StandIns
