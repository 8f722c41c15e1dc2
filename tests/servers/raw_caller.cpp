#include "tests/servers/raw_caller.h"

#include <algorithm>
#include <array>
#include <regex>

#include <Poco/Net/SocketAddress.h>

namespace Lovageloft
{

int CallerAnswer::code() const
{
    const std::regex pattern("\"code\":([0-9]+)");
    std::smatch match;
    return std::regex_search(body, match, pattern) ? std::stoi(match[1]) : 0;
}

RawCaller::RawCaller(std::uint16_t port, std::chrono::milliseconds silenceLimit)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
{
    socket_.setReceiveTimeout(Poco::Timespan(std::chrono::microseconds(silenceLimit).count()));
}

void RawCaller::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const int count = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool RawCaller::receive()
{
    std::array<char, 65'536> buffer{};
    try {
        const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        received_.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        return count > 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void RawCaller::readUntil(std::string_view text)
{
    while (received_.find(text) == std::string::npos && receive()) {
    }
}

std::string RawCaller::decodeChunks(bool &isWhole)
{
    std::string body;
    while (true) {
        std::size_t end = 0;
        while ((end = received_.find("\r\n")) == std::string::npos) {
            if (!receive()) {
                return body;
            }
        }
        const std::size_t size = std::stoul(received_.substr(0, end), nullptr, 16);
        while (received_.size() < end + 2 + size + 2) {
            if (!receive()) {
                return body;
            }
        }
        body += received_.substr(end + 2, size);
        received_.erase(0, end + 2 + size + 2);
        if (size == 0) {
            isWhole = true;
            return body;
        }
    }
}

CallerAnswer RawCaller::readAnswer()
{
    CallerAnswer answer;
    readUntil("\r\n\r\n");
    const std::size_t end = received_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return answer;
    }
    answer.head = received_.substr(0, end + 2);
    answer.status = std::stoi(answer.head.substr(9, 3));
    received_.erase(0, end + 4);
    std::smatch match;
    if (answer.status == 100) {
        return answer;
    }
    if (std::regex_search(answer.head, match, std::regex("Content-Length: ([0-9]+)"))) {
        const std::size_t size = std::stoul(match[1]);
        while (received_.size() < size && receive()) {
        }
        answer.isWhole = received_.size() >= size;
        answer.body = received_.substr(0, size);
        received_.erase(0, size);
    } else if (answer.head.find("chunked") != std::string::npos) {
        answer.body = decodeChunks(answer.isWhole);
    } else {
        while (receive()) {
        }
        answer.body = received_;
        answer.isWhole = true;
    }
    return answer;
}

void RawCaller::close()
{
    socket_.close();
}

} // namespace Lovageloft
