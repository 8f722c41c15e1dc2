#include "tests/stand_ins/stand_in_caller.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include "core/log.h"
#include "tests/stand_ins/completion_checker.h"
#include "tests/stand_ins/http_answer_reader.h"
#include "tests/stand_ins/json_body.h"

namespace Lovageloft::StandIns
{

namespace
{

constexpr int httpOk = 200;

struct Connection
{
    Poco::Net::StreamSocket socket;
    HttpAnswerReader reader;
};

/// Text without repetitions within a block, so that two prompts share only what they are meant to.
std::string makeText(std::string_view seed, std::size_t size)
{
    std::string text;
    for (std::size_t i = 0; text.size() < size; ++i) {
        text += std::string(seed) + ' ' + std::to_string(i) + ' ';
    }
    text.resize(size);
    return text;
}

std::string errorOf(int status, const std::string &body)
{
    const JsonBody json(body);
    const std::string code = json.has("code") ? json.text("code") : json.object("error").text("code");
    return std::to_string(status) + (code.empty() ? "" : "/" + code);
}

/// Sends the requests of one connection, one after the other.
class Caller
{
public:
    Caller(const StandInCallerOptions &options, const std::string &sharedPrompt)
        : options_(options)
        , sharedPrompt_(sharedPrompt)
    {
    }

    void call(std::int64_t number)
    {
        std::string fault;
        try {
            if (!connection_) {
                connect();
            }
            fault = exchange("caller-" + std::to_string(number));
        } catch (const Poco::TimeoutException &) {
            fault = "timeout";
        } catch (const Poco::DataFormatException &) {
            fault = "cut_off";
        } catch (const Poco::Exception &) {
            fault = "connection";
        }
        if (!fault.empty()) {
            ++result_.errors[fault];
            connection_.reset();
        }
    }

    const StandInCallerResult &result() const
    {
        return result_;
    }

private:
    void connect()
    {
        const Poco::Timespan timeout(std::chrono::duration_cast<std::chrono::microseconds>(options_.timeout).count());
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(options_.address), timeout);
        socket.setNoDelay(true);
        socket.setReceiveTimeout(timeout);
        socket.setSendTimeout(timeout);
        connection_ = std::make_unique<Connection>(Connection{socket, HttpAnswerReader(socket)});
    }

    std::string exchange(const std::string &id)
    {
        firstToken_.reset();
        const std::string request = requestText(id);
        const TimePoint start = BootClock::now();
        connection_->socket.sendBytes(request.data(), static_cast<int>(request.size()));
        const int status = connection_->reader.readHead();
        CompletionChecker checker(options_.acceptsAnyId ? "" : id, options_.maxCompletionTokens, true);
        const bool isStream = connection_->reader.header("content-type").starts_with("text/event-stream");
        const std::string body = isStream ? readStream(checker, start) : readWhole();
        if (status != httpOk) {
            return errorOf(status, body);
        }
        if (!isStream) {
            noteFirstToken(start);
            ++result_.chunks;
            static_cast<void>(checker.addAnswer(body));
        }
        std::string fault(checker.fault());
        if (fault.empty()) {
            ++result_.complete;
            result_.firstTokenTimes.push_back(firstToken_.value_or(Duration::zero()));
        }
        if (Poco::toLower(connection_->reader.header("connection")) == "close") {
            connection_.reset();
        }
        return fault;
    }

    std::string readWhole()
    {
        std::string body;
        while (connection_->reader.readSome(body)) {
        }
        return body;
    }

    /// Checks the complete events and returns the rest, an incomplete event.
    std::string readStream(CompletionChecker &checker, TimePoint start)
    {
        std::string text;
        bool isSound = true;
        while (isSound && connection_->reader.readSome(text)) {
            std::size_t begin = 0;
            for (std::size_t end = text.find("\n\n"); isSound && end != std::string::npos; end = text.find("\n\n", begin)) {
                isSound = addEvent(checker, std::string_view(text).substr(begin, end - begin), start);
                begin = end + 2;
            }
            text.erase(0, begin);
        }
        return text;
    }

    bool addEvent(CompletionChecker &checker, std::string_view event, TimePoint start)
    {
        constexpr std::string_view field = "data: ";
        if (!event.starts_with(field)) {
            return true; // A comment, sent to keep the connection alive.
        }
        const std::int64_t before = checker.tokensSeen();
        const bool isSound = checker.addEvent(event.substr(field.size()));
        if (checker.tokensSeen() > before) {
            noteFirstToken(start);
            ++result_.chunks;
        }
        return isSound;
    }

    void noteFirstToken(TimePoint start)
    {
        if (!firstToken_) {
            firstToken_ = BootClock::now() - start;
        }
    }

    std::string requestText(const std::string &id) const
    {
        const std::string prompt = sharedPrompt_ + makeText(id, options_.promptBytes - sharedPrompt_.size());
        std::string body = R"({"model":)";
        appendJsonString(body, options_.model);
        body += R"(,"messages":[{"role":"user","content":)";
        appendJsonString(body, prompt);
        body += R"(}],"max_tokens":)" + std::to_string(options_.maxCompletionTokens) + R"(,"stream":)" + (options_.isStream ? "true}" : "false}");
        std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: " + options_.address + "\r\nContent-Type: application/json\r\nX-Request-Id: " + id;
        if (!options_.key.empty()) {
            head += "\r\nAuthorization: Bearer " + options_.key;
        }
        return head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    const StandInCallerOptions &options_;
    const std::string &sharedPrompt_;
    std::unique_ptr<Connection> connection_;
    std::optional<Duration> firstToken_;
    StandInCallerResult result_;
};

void addTo(StandInCallerResult &total, const StandInCallerResult &part)
{
    total.complete += part.complete;
    total.chunks += part.chunks;
    for (const auto &[error, count] : part.errors) {
        total.errors[error] += count;
    }
    total.firstTokenTimes.insert(total.firstTokenTimes.end(), part.firstTokenTimes.begin(), part.firstTokenTimes.end());
}

std::string quantile(const std::vector<Duration> &ascending, std::size_t percent)
{
    if (ascending.empty()) {
        return "null";
    }
    const Duration value = ascending[std::min(ascending.size() - 1, ascending.size() * percent / 100)];
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

} // namespace

std::string StandInCallerResult::toJson() const
{
    std::int64_t failed = 0;
    std::string errorText;
    for (const auto &[error, count] : errors) {
        failed += count;
        errorText += errorText.empty() ? "" : ",";
        appendJsonString(errorText, error);
        errorText += ":" + std::to_string(count);
    }
    const double seconds = toSeconds(elapsed);
    return R"({"complete":)" + std::to_string(complete) + R"(,"failed":)" + std::to_string(failed) + R"(,"errors":{)" + errorText + R"(},"ttft_us":{"p50":)"
        + quantile(firstTokenTimes, 50) + R"(,"p95":)" + quantile(firstTokenTimes, 95) + R"(,"p99":)" + quantile(firstTokenTimes, 99) + R"(},"chunks":)"
        + std::to_string(chunks) + R"(,"seconds":)" + std::to_string(seconds) + R"(,"chunks_per_second":)"
        + std::to_string(static_cast<std::int64_t>(seconds > 0 ? static_cast<double>(chunks) / seconds : 0)) + "}";
}

StandInCallerResult runStandInCallers(const StandInCallerOptions &options)
{
    const std::string sharedPrompt = makeText("shared", std::min(options.sharedBytes, options.promptBytes));
    std::atomic<std::int64_t> next = 0;
    std::mutex mutex;
    StandInCallerResult total;
    const auto callAll = [&] {
        Caller caller(options, sharedPrompt);
        for (std::int64_t number = next++; number < options.requests; number = next++) {
            caller.call(number);
        }
        const std::lock_guard lock(mutex);
        addTo(total, caller.result());
    };
    const TimePoint start = BootClock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < options.streams; ++i) {
        threads.emplace_back(callAll);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    total.elapsed = BootClock::now() - start;
    std::sort(total.firstTokenTimes.begin(), total.firstTokenTimes.end());
    return total;
}

} // namespace Lovageloft::StandIns
