#include "kit.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

using std::chrono::milliseconds;

bool isSame(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string word(const std::string &text, int index)
{
    std::istringstream in(text);
    std::string found;
    for (int i = 0; i <= index; ++i) {
        in >> found;
    }
    return found;
}

/// The text of a field of a JSON object whose texts have no escapes.
std::string jsonText(const std::string &object, const std::string &name)
{
    const std::string start = "\"" + name + "\":\"";
    const std::size_t begin = object.find(start);
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t end = object.find('"', begin + start.size());
    return object.substr(begin + start.size(), end - begin - start.size());
}

std::int64_t jsonNumber(const std::string &object, const std::string &name)
{
    const std::string start = "\"" + name + "\":";
    const std::size_t begin = object.find(start);
    return begin == std::string::npos ? 0 : std::strtoll(object.c_str() + begin + start.size(), nullptr, 10);
}

/// The part of a JSON object that is the list of this name, without its brackets.
std::string jsonList(const std::string &object, const std::string &name)
{
    const std::string start = "\"" + name + "\":[";
    const std::size_t begin = object.find(start);
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t end = object.find(']', begin);
    return object.substr(begin + start.size(), end - begin - start.size());
}

std::vector<std::string> jsonObjects(const std::string &list)
{
    std::vector<std::string> objects;
    std::size_t begin = 0;
    while ((begin = list.find('{', begin)) != std::string::npos) {
        const std::size_t end = list.find('}', begin);
        objects.push_back(list.substr(begin, end - begin + 1));
        begin = end;
    }
    return objects;
}

std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string queryValue(const std::string &path, const std::string &name)
{
    const std::size_t query = path.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::istringstream in(path.substr(query + 1));
    std::string entry;
    while (std::getline(in, entry, '&')) {
        if (entry.rfind(name + "=", 0) == 0) {
            return percentDecoded(entry.substr(name.size() + 1));
        }
    }
    return {};
}

std::string itemText(const std::string &key, const std::string &value, std::int64_t revision, std::int64_t created, std::int64_t lease)
{
    return R"({"key":")" + key + R"(","value":")" + value + R"(","rev":)" + std::to_string(revision) + ",\"createRevision\":" + std::to_string(created)
        + ",\"lease\":" + std::to_string(lease) + "}";
}

} // namespace

std::string Message::find(const std::string &name) const
{
    for (const auto &[field, value] : fields) {
        if (isSame(field, name)) {
            return value;
        }
    }
    return {};
}

int Message::status() const
{
    return start.rfind("HTTP/", 0) == 0 ? std::atoi(word(start, 1).c_str()) : 0;
}

std::string Message::method() const
{
    return word(start, 0);
}

std::string Message::path() const
{
    return word(start, 1);
}

Record::Record(const std::string &path)
    : out_(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const auto elapsed = std::chrono::duration<double>(Clock::now() - start_).count();
    out_ << std::fixed << std::setprecision(3) << std::setw(8) << elapsed << "  " << line << '\n' << std::flush;
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::Connection(const std::string &ip, int port)
    : Connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = addressOf(ip, port);
    if (connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close();
    }
}

Connection::~Connection()
{
    close();
}

bool Connection::isOpen() const
{
    return descriptor_ >= 0;
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t got = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (got <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(got);
    }
    return true;
}

void Connection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

bool Connection::fill(Clock::time_point deadline)
{
    pollfd entry{descriptor_, POLLIN, 0};
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 65'536> bytes{};
    const ssize_t got = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

bool Connection::readChunks(Message &message, Clock::time_point deadline)
{
    while (true) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                message.problem = "ends within its chunks";
                return false;
            }
        }
        const std::string line = buffer_.substr(0, end);
        if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            message.problem = "has no chunk where one is due, but: " + line.substr(0, 60);
            return false;
        }
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
            if (!fill(deadline)) {
                message.problem = "ends within a chunk";
                return false;
            }
        }
        message.body.append(buffer_, end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

Message Connection::read(milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    Message message;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            message.problem = buffer_.empty() ? "nothing came" : "ends within its head";
            return message;
        }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (message.start.empty()) {
            message.start = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    if (isSame(message.find("Transfer-Encoding"), "chunked")) {
        message.isWhole = readChunks(message, deadline);
        return message;
    }
    const std::size_t length = std::strtoul(message.find("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!fill(deadline)) {
            message.problem = "ends within its body";
            return message;
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    message.isWhole = true;
    return message;
}

Server::Server(const std::string &ip, Handler handler)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , handler_(std::move(handler))
{
    sockaddr_in address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    if (bind(descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(descriptor_, 256) != 0) {
        std::_Exit(CouldNotRun);
    }
    getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] {
        while (true) {
            const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                while (true) {
                    const Message request = connection.read();
                    if (!request.isWhole) {
                        return;
                    }
                    handler_(connection, request);
                }
            }).detach();
        }
    }).detach();
}

int Server::port() const
{
    return port_;
}

std::string answerText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Store::Store(const std::string &ip)
    : server_(ip, [this](Connection &connection, const Message &request) { answer(connection, request); })
{
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(milliseconds(50));
            endLeases();
        }
    }).detach();
}

int Store::port() const
{
    return server_.port();
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, base64(value), 0);
    changed_.notify_all();
    return revision_;
}

void Store::answer(Connection &connection, const Message &request)
{
    int status = 200;
    const std::string body = perform(request, status);
    connection.send(answerText(status, {{"Content-Type", "application/json"}}, body));
}

std::string Store::perform(const Message &request, int &status)
{
    const std::string path = request.path();
    const std::string call = path.substr(0, path.find('?'));
    if (call == "/v1/kv-watch") {
        return watch(queryValue(path, "pathPrefix"), std::stoll(queryValue(path, "after")), milliseconds(std::stoll(queryValue(path, "waitMs"))));
    }
    const std::lock_guard lock(mutex_);
    if (call == "/v1/kv-key") {
        const auto item = items_.find(queryValue(path, "key"));
        status = item != items_.end() ? 200 : 404;
        return item != items_.end() ? itemText(item->first, item->second.value, item->second.revision, item->second.created, item->second.lease) : "{}";
    }
    if (call == "/v1/kv-range") {
        return list(queryValue(path, "pathPrefix"));
    }
    if (call == "/v1/kv-txn") {
        return transact(request.body, status);
    }
    if (call == "/v1/kv-lease") {
        return grant(request.body);
    }
    const std::int64_t lease = std::strtoll(call.substr(call.rfind('/') + 1).c_str(), nullptr, 10);
    if (request.method() == "DELETE" && leases_.contains(lease)) {
        leases_[lease].first = Clock::now();
        return "{}";
    }
    return keep(lease, status);
}

std::string Store::list(const std::string &prefix)
{
    std::string items;
    for (const auto &[key, item] : items_) {
        if (key.rfind(prefix, 0) == 0) {
            items += (items.empty() ? "" : ",") + itemText(key, item.value, item.revision, item.created, item.lease);
        }
    }
    return R"({"items":[)" + items + R"(],"morePages":false,"asOf":)" + std::to_string(revision_) + "}";
}

std::string Store::watch(const std::string &prefix, std::int64_t after, milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    std::unique_lock lock(mutex_);
    while (true) {
        std::string found;
        for (const Event &event : events_) {
            if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
                found += (found.empty() ? "" : ",") + event.text;
            }
        }
        if (!found.empty() || Clock::now() >= deadline) {
            return R"({"events":[)" + found + R"(],"asOf":)" + std::to_string(revision_) + "}";
        }
        changed_.wait_until(lock, deadline);
    }
}

std::string Store::transact(const std::string &body, int &status)
{
    std::string conflicts;
    bool isMet = true;
    for (const std::string &row : jsonObjects(jsonList(body, "precondition"))) {
        const std::string key = jsonText(row, "key");
        const auto item = items_.find(key);
        const std::int64_t revision = item != items_.end() ? item->second.revision : 0;
        isMet = isMet && revision == jsonNumber(row, "rev");
        if (item != items_.end()) {
            conflicts += (conflicts.empty() ? "" : ",") + itemText(key, item->second.value, revision, item->second.created, item->second.lease);
        }
    }
    if (!isMet) {
        status = 412;
        return R"({"items":[)" + conflicts + "]}";
    }
    const std::vector<std::string> writes = jsonObjects(jsonList(body, "writes"));
    const std::string removed = jsonList(body, "remove");
    for (const std::string &row : writes) {
        const std::int64_t lease = jsonNumber(row, "lease");
        if (lease != 0 && !leases_.contains(lease)) {
            status = 404;
            return "{}";
        }
    }
    if (!writes.empty() || !removed.empty()) {
        ++revision_;
    }
    for (const std::string &row : writes) {
        write(jsonText(row, "key"), jsonText(row, "value"), jsonNumber(row, "lease"));
    }
    for (std::size_t begin = removed.find('"'); begin != std::string::npos; begin = removed.find('"', begin + 1)) {
        const std::size_t end = removed.find('"', begin + 1);
        erase(removed.substr(begin + 1, end - begin - 1));
        begin = end;
    }
    changed_.notify_all();
    return R"({"rev":)" + std::to_string(revision_) + "}";
}

std::string Store::grant(const std::string &body)
{
    const milliseconds time(std::max<std::int64_t>(jsonNumber(body, "ttlMs"), 1'000));
    leases_[++lastLease_] = {Clock::now() + time, time};
    return R"({"lease":)" + std::to_string(lastLease_) + ",\"ttlMs\":" + std::to_string(time.count()) + "}";
}

std::string Store::keep(std::int64_t lease, int &status)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        status = 404;
        return "{}";
    }
    found->second.first = Clock::now() + found->second.second;
    return R"({"ttlMs":)" + std::to_string(found->second.second.count()) + "}";
}

void Store::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = items_[key];
    item = {value, revision_, item.created != 0 ? item.created : revision_, lease};
    events_.push_back({key, revision_, itemText(key, value, revision_, item.created, lease)});
}

void Store::erase(const std::string &key)
{
    if (items_.erase(key) > 0) {
        events_.push_back({key, revision_, R"({"key":")" + key + R"(","rev":)" + std::to_string(revision_) + R"(,"tombstone":true})"});
    }
}

void Store::endLeases()
{
    const std::lock_guard lock(mutex_);
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (Clock::now() < lease->second.first) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            ++revision_;
            erase(key);
        }
        lease = leases_.erase(lease);
        changed_.notify_all();
    }
}

Routers::Routers(int count, int storePort, std::string folder)
    : folder_(std::move(folder))
    , network_(static_cast<int>(getpid() % 200 + 20))
{
    for (int host = 0; host < count; ++host) {
        start(host, storePort);
    }
}

Routers::~Routers()
{
    stop();
}

void Routers::stop()
{
    for (const pid_t process : processes_) {
        kill(process, SIGCONT);
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    processes_.clear();
}

std::string Routers::ip(int host) const
{
    return "127.0." + std::to_string(network_) + "." + std::to_string(host + 1);
}

void Routers::signal(int host, int number) const
{
    kill(processes_.at(static_cast<std::size_t>(host)), number);
}

bool Routers::isRunning(int host) const
{
    return waitpid(processes_.at(static_cast<std::size_t>(host)), nullptr, WNOHANG) == 0;
}

std::int64_t Routers::residentKilobytes(int host) const
{
    constexpr std::int64_t pageKilobytes = 4;
    std::ifstream in("/proc/" + std::to_string(processes_.at(static_cast<std::size_t>(host))) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    in >> total >> resident;
    return resident * pageKilobytes;
}

bool Routers::areReady() const
{
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    for (int host = 0; host < static_cast<int>(processes_.size());) {
        Connection connection(ip(host), readinessPort);
        const bool isAsked = connection.isOpen() && connection.send("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        if (isAsked && connection.read(milliseconds(500)).status() == 200) {
            ++host;
            continue;
        }
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return true;
}

void Routers::start(int host, int storePort)
{
    constexpr std::array<const char *, 3> zones{"a", "b", "c"};
    const std::string name = "front-" + std::to_string(host + 1);
    const std::string path = folder_ + "/" + name + ".toml";
    std::ofstream(path) << "nodeName = \"" << name << "\"\nrole = \"router\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"" << ip(host)
                        << "\"\nzone = \"" << zones.at(static_cast<std::size_t>(host) % zones.size())
                        << "\"\nregion = \"r\"\ninternalPorts = [7600,7615]\nbootstrap = true\nheartbeatMs = 1200\n"
                        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\","
                        << "\"quota\",\"platform\"]\n[listen]\nfront = \"" << ip(host) << ":" << callersPort << "\"\nreadinessAddr = \"" << ip(host) << ":"
                        << readinessPort << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\n"
                        << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
                        << "lossSlackMs = 200\nconfigMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n"
                        << "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 56\nquotaWindowS = 8\nquotaOver = 0.1\nquotaSlack = 190000\n"
                        << "recoverS = 12\neventLagMs = 120\nretryAfterS = 10\nrequireFencing = true\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\n"
                        << "versionAllMs = 11000\n[platform]\naddr = \"127.0.0.1:" << storePort
                        << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    const std::string log = folder_ + "/" + name + ".log";
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("LOVAGELOFT_NODE_FILE", path.c_str(), 1);
        execl("target/main/lovageloftd", "target/main/lovageloftd", "--platform", "--metrics-port", "9464", nullptr);
        std::_Exit(CouldNotRun);
    }
    processes_.push_back(process);
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string base64(const std::string &bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t value = 0;
        for (std::size_t j = i; j < i + 3; ++j) {
            value = value << 8U | (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U);
        }
        for (int digit = 3; digit >= 0; --digit) {
            out += digits[value >> (6U * static_cast<unsigned>(digit)) & 63U];
        }
    }
    for (std::size_t missing = (3 - bytes.size() % 3) % 3, i = 0; i < missing; ++i) {
        out[out.size() - 1 - i] = '=';
    }
    return out;
}

std::string requestId(int number)
{
    std::ostringstream out;
    out << "9c41d07b" << std::hex << std::setw(8) << std::setfill('0') << number;
    return out.str();
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

} // namespace Review
