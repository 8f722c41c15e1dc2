#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the review's scripts: the platform's store, servers and clients, as the users' pages describe them, and the router's processes. All
/// sockets are on loopback addresses.
namespace Review
{

using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

/// An HTTP message; `start` is its first line.
struct Message
{
    std::string start;
    Fields fields;
    std::string body;
    bool isWhole = false; ///< The body arrived as its framing says.
    std::string problem; ///< Why it is not whole.

    std::string find(const std::string &name) const;
    int status() const;
    std::string method() const;
    std::string path() const;
};

/// What was sent, answered and run, one line each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point start_ = Clock::now();
};

/// A connection that reads and writes HTTP/1.1 messages.
class Connection
{
public:
    explicit Connection(int descriptor);
    Connection(const std::string &ip, int port);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    bool isOpen() const;
    bool send(const std::string &bytes) const;

    /// Reads the next message. Without `limit` it waits until the other side closes. A message that ends early has `isWhole` false.
    Message read(std::chrono::milliseconds limit = std::chrono::hours(1));
    void close();

private:
    bool fill(Clock::time_point deadline);
    bool readChunks(Message &message, Clock::time_point deadline);

    int descriptor_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &connection, const Message &request)>;
    Server(const std::string &ip, Handler handler);
    int port() const;

private:
    int descriptor_;
    int port_ = 0;
    Handler handler_;
};

std::string answerText(int status, const Fields &fields, const std::string &body);

/// The platform's metadata store: items with revisions, watches, leases and conditional writes.
class Store
{
public:
    explicit Store(const std::string &ip);
    int port() const;

    /// A write of the operator or of a server; returns its revision.
    std::int64_t put(const std::string &key, const std::string &value);

private:
    struct Item
    {
        std::string value; ///< In base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Event
    {
        std::string key;
        std::int64_t revision = 0;
        std::string text;
    };

    void answer(Connection &connection, const Message &request);
    std::string perform(const Message &request, int &status);
    std::string transact(const std::string &body, int &status);
    std::string watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait);
    std::string list(const std::string &prefix);
    std::string grant(const std::string &body);
    std::string keep(std::int64_t lease, int &status);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLeases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::map<std::int64_t, std::pair<Clock::time_point, std::chrono::milliseconds>> leases_;
    std::int64_t revision_ = 10;
    std::int64_t lastLease_ = 100;
    Server server_;
};

/// Machines of the site pamoja-quotes.
inline constexpr int hosts = 8;

/// Processes of the router, started with the `run` line of the deploy file.
class Routers
{
public:
    /// `count` hosts of the zones a, b, c, with the bounds of the site pamoja-quotes.
    Routers(int count, int storePort, std::string folder);
    Routers(const Routers &) = delete;
    Routers &operator=(const Routers &) = delete;
    ~Routers();

    /// Ends all processes.
    void stop();

    /// Whether all hosts report ready within 20 s.
    bool areReady() const;
    std::string ip(int host) const;
    void signal(int host, int number) const;
    bool isRunning(int host) const;

    /// Resident memory of a host's process; 0 if it has ended.
    std::int64_t residentKilobytes(int host) const;

    static constexpr int callersPort = 8606;
    static constexpr int readinessPort = 8605;

private:
    void start(int host, int storePort);

    std::string folder_;
    std::vector<pid_t> processes_;
    int network_; ///< Third number of the hosts' addresses, 127.0.N.x.
};

/// A chunk of a body that is sent in chunks.
std::string chunk(const std::string &bytes);

std::string base64(const std::string &bytes);

/// An id as clients choose them.
std::string requestId(int number);

/// Whether the script's disruption is asked for: the variable TROUBLE is not 0.
bool hasTrouble();

/// The exit codes that a script ends with.
enum Verdict : int
{
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

} // namespace Review
