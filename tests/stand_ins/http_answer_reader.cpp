#include "tests/stand_ins/http_answer_reader.h"

#include <algorithm>
#include <charconv>

#include <Poco/Exception.h>
#include <Poco/String.h>

namespace Lovageloft::StandIns
{

namespace
{

std::size_t parseSize(std::string_view text, int base)
{
    std::size_t size = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), size, base).ec != std::errc()) {
        throw Poco::DataFormatException("malformed length");
    }
    return size;
}

} // namespace

HttpAnswerReader::HttpAnswerReader(const Poco::Net::StreamSocket &socket)
    : socket_(socket)
{
}

int HttpAnswerReader::readHead()
{
    const std::string statusLine = readLine();
    fields_.clear();
    for (std::string line = readLine(); !line.empty(); line = readLine()) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            throw Poco::DataFormatException("malformed head");
        }
        fields_[Poco::toLower(line.substr(0, colon))] = Poco::trim(line.substr(colon + 1));
    }
    isChunked_ = header("transfer-encoding") == "chunked";
    bytesLeft_ = isChunked_ ? 0 : parseSize(header("content-length"), 10);
    const std::size_t space = statusLine.find(' ');
    return static_cast<int>(parseSize(std::string_view(statusLine).substr(std::min(space, statusLine.size() - 1) + 1), 10));
}

bool HttpAnswerReader::readSome(std::string &out)
{
    if (isChunked_ && bytesLeft_ == 0) {
        bytesLeft_ = parseSize(readLine(), 16);
        if (bytesLeft_ == 0) {
            readLine();
            return false;
        }
    }
    if (bytesLeft_ == 0) {
        return false;
    }
    consume(out, bytesLeft_);
    if (isChunked_ && bytesLeft_ == 0) {
        readLine();
    }
    return true;
}

std::string HttpAnswerReader::header(const std::string &name) const
{
    const auto field = fields_.find(name);
    return field == fields_.end() ? "" : field->second;
}

std::string HttpAnswerReader::readLine()
{
    std::size_t end = buffer_.find("\r\n", position_);
    while (end == std::string::npos) {
        receive();
        end = buffer_.find("\r\n", position_);
    }
    std::string line = buffer_.substr(position_, end - position_);
    position_ = end + 2;
    return line;
}

void HttpAnswerReader::receive()
{
    constexpr std::size_t receiveBytes = 65'536;
    buffer_.erase(0, position_);
    position_ = 0;
    const std::size_t before = buffer_.size();
    buffer_.resize(before + receiveBytes);
    const int received = socket_.receiveBytes(buffer_.data() + before, receiveBytes);
    buffer_.resize(before + static_cast<std::size_t>(std::max(received, 0)));
    if (received <= 0) {
        throw Poco::DataFormatException("connection closed");
    }
}

void HttpAnswerReader::consume(std::string &out, std::size_t &left)
{
    if (position_ == buffer_.size()) {
        receive();
    }
    const std::size_t size = std::min(left, buffer_.size() - position_);
    out.append(buffer_, position_, size);
    position_ += size;
    left -= size;
}

} // namespace Lovageloft::StandIns
