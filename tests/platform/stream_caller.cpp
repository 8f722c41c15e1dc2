#include "tests/platform/stream_caller.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace Lovageloft
{

namespace
{

constexpr Poco::Timespan::TimeDiff pollTime = 100'000; // Microseconds.
constexpr int maxPolls = 50;

/// Whether nobody listens at an address any more.
bool isGone(const Poco::Net::SocketAddress &address)
{
    try {
        const Poco::Net::StreamSocket probe(address);
        return false;
    } catch (const Poco::Exception &) {
        return true;
    }
}

} // namespace

StreamCaller::StreamCaller(std::string id)
    : id_(std::move(id))
{
}

void StreamCaller::send(std::uint16_t port)
{
    attemptId_ = id_ + "-" + std::to_string(++attempts_);
    std::string head = "POST /resume/x HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: " + attemptId_
        + "\r\nLovageloft-Deadline-Ms: 1900\r\nApi-Key: k\r\nContent-Length: 4\r\n";
    if (!events_.empty()) {
        head += "Last-Event-Id: " + events_.back().id + "\r\n";
        if (resumes_) {
            head += "Resumes: " + *resumes_ + "\r\n";
        }
    }
    head += "\r\nbody";
    answer_.clear();
    parsed_ = 0;
    try {
        socket_ = Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", port));
        socket_.setReceiveTimeout(Poco::Timespan(pollTime));
        socket_.sendBytes(head.data(), static_cast<int>(head.size()));
    } catch (const Poco::Exception &) {
        answer_.clear(); // A host that is gone refuses the connection; the attempt has no answer.
    }
}

bool StreamCaller::readEvents(std::size_t count)
{
    while (events_.size() < count && !isComplete() && read()) {
    }
    return events_.size() >= count;
}

void StreamCaller::readAll()
{
    while (!isComplete() && read()) {
    }
}

bool StreamCaller::read()
{
    std::array<char, 4'096> buffer{};
    int got = 0;
    for (int polls = 0;; ++polls) {
        try {
            got = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            break;
        } catch (const Poco::TimeoutException &) {
            // The connections of a host that a test has killed stay open in this process, unlike its port.
            if (polls >= maxPolls || isGone(socket_.peerAddress())) {
                return false;
            }
        } catch (const Poco::Exception &) {
            return false; // A reset ends the attempt.
        }
    }
    answer_.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
    parse();
    return got > 0;
}

/// The stand-ins send each event as one chunk, so its lines stand together in the answer.
void StreamCaller::parse()
{
    constexpr std::string_view idField = "id: ";
    constexpr std::string_view dataField = "\ndata: ";
    while (true) {
        const std::size_t begin = answer_.find(idField, parsed_);
        const std::size_t data = answer_.find(dataField, begin);
        const std::size_t end = answer_.find("\n\n", data);
        if (begin == std::string::npos || data == std::string::npos || end == std::string::npos) {
            return;
        }
        const std::size_t dataBegin = data + dataField.size();
        events_.push_back({answer_.substr(begin + idField.size(), data - begin - idField.size()), answer_.substr(dataBegin, end - dataBegin)});
        parsed_ = end;
        if (beganAs_.empty()) {
            beganAs_ = attemptId_;
            resumes_ = attemptId_;
        }
    }
}

int StreamCaller::status() const
{
    constexpr std::size_t statusAt = 9; // After "HTTP/1.1 ".
    return answer_.size() > statusAt ? std::atoi(answer_.c_str() + statusAt) : 0;
}

const std::string &StreamCaller::answer() const
{
    return answer_;
}

bool StreamCaller::isComplete() const
{
    const std::size_t end = answer_.find("\r\n\r\n");
    const std::size_t length = answer_.find("Content-Length: ");
    if (end != std::string::npos && length < end) {
        return answer_.size() >= end + 4 + std::strtoull(answer_.c_str() + length + 16, nullptr, 10);
    }
    return answer_.ends_with("0\r\n\r\n");
}

const std::vector<ReceivedEvent> &StreamCaller::events() const
{
    return events_;
}

bool StreamCaller::isMixed() const
{
    return std::any_of(events_.begin(), events_.end(), [this](const ReceivedEvent &event) { return event.data != events_.front().data; });
}

const std::string &StreamCaller::beganAs() const
{
    return beganAs_;
}

void StreamCaller::setResumes(std::optional<std::string> id)
{
    resumes_ = std::move(id);
}

} // namespace Lovageloft
