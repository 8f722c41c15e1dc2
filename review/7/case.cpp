/// Engines that serve two models. New weights of the second model are named and loaded; later new weights of the first one are named.

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "review/kit-2/deployment.h"

using namespace Review2;
using namespace std::chrono_literals;

namespace
{

constexpr int ok = 200;
constexpr std::size_t hosts = 2;
constexpr std::array engineIds{"i-1", "i-2", "i-3"};
constexpr std::chrono::milliseconds versionBound{8'000};

/// Of `versionMs`: how long all engines may take.
constexpr double allEnginesFactor = 1.5;
constexpr std::chrono::milliseconds loadTime{410};

/// A model engine with two models that loads new weights as the pages describe: an order is accepted if no other is in progress, its precondition is the
/// number of orders accepted before, and its fencing token is not lower than one seen. Requests of a model that loads are rejected. Thread-safe.
class TwoModelEngine
{
public:
    TwoModelEngine(std::string id, Deployment &deployment, Record &record)
        : id_(std::move(id))
        , deployment_(deployment)
        , record_(record)
    {
    }

    ~TwoModelEngine()
    {
        if (loading_.joinable()) {
            loading_.join();
        }
    }

    TwoModelEngine(const TwoModelEngine &) = delete;
    TwoModelEngine &operator=(const TwoModelEngine &) = delete;

    Lovageloft::ScriptedTarget::Script script()
    {
        return [this](Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request) { answer(connection, request); };
    }

    std::string models() const
    {
        const std::lock_guard lock(mutex_);
        return R"([{"name":"m0","version":)" + std::to_string(versions_[0]) + R"(,"adapters":[]},{"name":"m1","version":)" + std::to_string(versions_[1])
            + R"(,"adapters":[]}])";
    }

    int version(std::size_t model) const
    {
        const std::lock_guard lock(mutex_);
        return versions_.at(model);
    }

private:
    void answer(Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request)
    {
        if (const std::string instance = request.field("Lovageloft-Expect-Instance"); !instance.empty() && instance != id_) {
            reject(connection, request, 421);
        } else if (request.head.starts_with("GET /v1/report")) {
            connection.answer(request, ok, report(), "Content-Type: application/json\r\n");
        } else if (request.head.starts_with("POST /v1/order")) {
            connection.answer(request, order(request.body), "{}", "Content-Type: application/json\r\n");
        } else {
            runRequest(connection, request);
        }
    }

    void reject(Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request, int status) const
    {
        connection.answer(request, status, "", "Lovageloft-Not-Executed: 1\r\nLovageloft-Instance-Id: " + id_ + "\r\n");
    }

    std::string report() const
    {
        const std::string models = this->models();
        const std::lock_guard lock(mutex_);
        return R"({"stage":"colocated","models":)" + models + R"(,"busy":)" + (isLoading_ ? "true" : "false") + R"(,"seq":)" + std::to_string(accepted_)
            + R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":156630,"handles":0})";
    }

    int order(const std::string &body)
    {
        const auto call = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
        const std::size_t model = call->getValue<std::string>("model") == "m0" ? 0 : 1;
        const int wanted = call->getValue<int>("version");
        const int status = accept(model, wanted, call->getValue<std::int64_t>("fence"), call->optValue<std::int64_t>("precondition", -1));
        record_.add("engine " + id_ + " was ordered to load m" + std::to_string(model) + " version " + std::to_string(wanted) + " by "
                    + call->getValue<std::string>("holder") + ", answered " + std::to_string(status));
        return status;
    }

    int accept(std::size_t model, int wanted, std::int64_t fence, std::int64_t precondition)
    {
        constexpr int accepted = 202;
        constexpr int conflict = 409;
        constexpr int fenced = 412;
        const std::lock_guard lock(mutex_);
        if (fence < fence_) {
            return fenced;
        }
        fence_ = fence;
        if (isLoading_ || (precondition >= 0 && precondition != accepted_)) {
            return conflict;
        }
        if (versions_.at(model) == wanted) {
            return ok;
        }
        ++accepted_;
        isLoading_ = true;
        loadingModel_ = model;
        if (loading_.joinable()) {
            loading_.join();
        }
        loading_ = std::thread([this, model, wanted] { load(model, wanted); });
        return accepted;
    }

    void load(std::size_t model, int wanted)
    {
        std::this_thread::sleep_for(loadTime);
        {
            const std::lock_guard lock(mutex_);
            versions_.at(model) = wanted;
            isLoading_ = false;
        }
        deployment_.write("servers/" + id_, deployment_.entryOf(id_, models()));
    }

    void runRequest(Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request)
    {
        const std::size_t model = request.field("Lovageloft-Model") == "m0" ? 0 : 1;
        const std::string expected = request.field("Lovageloft-Expect-Version");
        int version = 0;
        bool isLoading = false;
        {
            const std::lock_guard lock(mutex_);
            version = versions_.at(model);
            isLoading = isLoading_ && loadingModel_ == model;
        }
        if (!expected.empty() && expected != std::to_string(version)) {
            reject(connection, request, 421);
            return;
        }
        if (isLoading) {
            reject(connection, request, 503);
            return;
        }
        record_.add("engine " + id_ + " runs " + request.field("Lovageloft-Request-Id") + " on m" + std::to_string(model) + " version "
                    + std::to_string(version));
        connection.beginStream(request);
        connection.sendEvent(1);
        connection.endStream();
    }

    std::string id_;
    Deployment &deployment_;
    Record &record_;
    mutable std::mutex mutex_;
    std::array<int, 2> versions_{1, 1};
    std::int64_t accepted_ = 0;
    std::int64_t fence_ = 0;
    bool isLoading_ = false;
    std::size_t loadingModel_ = 0;
    std::thread loading_;
};

using Engines = std::vector<std::unique_ptr<TwoModelEngine>>;

std::string configuration()
{
    return R"({"version":1,"routes":[)" + route("ask", "streaming", "lexicon", R"(,"sticky":true,"resumable":true)")
        + R"(],"services":[{"name":"lexicon","engine":{"kvCapacity":156630}}],"limits":{},"tenants":[{"name":"desk","apiKeys":["key-of-desk"],)"
          R"("priority":1,"ratePerS":0,"burst":0,"unit":"tokens","plainTokens":200,"isolated":false}]})";
}

/// Sends a request for a model to each host; returns how many were served.
int askAll(const Deployment &deployment, const std::string &label, const std::string &model, Record &record)
{
    int served = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        const std::string id = joined({label, "-", model, "-", std::to_string(host)});
        const Answer answer = deployment.ask(host,
                                             postRequest("/ask/x",
                                                         id,
                                                         "Lovageloft-Model: " + model
                                                             + "\r\nLovageloft-Token-Count: 400,20\r\nLovageloft-Prefix-Hash: 5c1e07a2:300,91bd3f10:100\r\n"
                                                               "Api-Key: key-of-desk\r\n"));
        record.add(joined({"client sent ", id, ", answered ", std::to_string(answer.status)}));
        served += answer.status == ok ? 1 : 0;
    }
    return served;
}

std::size_t countOlder(const Engines &engines, std::size_t model, int version)
{
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [&](const auto &engine) { return engine->version(model) < version; }));
}

/// Names new weights of a model and waits as long as all engines may take; returns how many have an older version then.
std::size_t olderAfterNaming(Deployment &deployment, const Engines &engines, std::size_t model, int version, Record &record)
{
    const std::string name = 'm' + std::to_string(model);
    deployment.write("op/version/" + name, R"({"model":")" + name + R"(","version":)" + std::to_string(version) + '}');
    const auto limit = std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::milliseconds>(versionBound * allEnginesFactor) + 1s;
    while (countOlder(engines, model, version) > 0 && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(100ms);
    }
    const std::size_t older = countOlder(engines, model, version);
    record.add("engines with an older version of " + name + ": " + std::to_string(older) + " of " + std::to_string(engines.size()));
    return older;
}

Verdict run(const std::vector<std::string> &runWords, Record &record)
{
    Engines engines;
    Deployment deployment(runWords, hosts, record);
    deployment.write("op/config", configuration());
    for (const char *id : engineIds) {
        engines.push_back(std::make_unique<TwoModelEngine>(id, deployment, record));
        deployment.addServer({id, "lexicon", engines.back()->models(), engines.back()->script()});
    }
    const bool isUp = deployment.start() && askAll(deployment, "first", "m0", record) > 0 && askAll(deployment, "first", "m1", record) > 0;
    if (!isUp || olderAfterNaming(deployment, engines, 1, 2, record) > 0) {
        return Verdict::NotRun;
    }
    askAll(deployment, "second", "m0", record);
    askAll(deployment, "second", "m1", record);
    if (!hasTrouble()) {
        return askAll(deployment, "last", "m0", record) > 0 && askAll(deployment, "last", "m1", record) > 0 ? Verdict::Held : Verdict::Broken;
    }
    const std::size_t older = olderAfterNaming(deployment, engines, 0, 2, record);
    askAll(deployment, "last", "m0", record);
    askAll(deployment, "last", "m1", record);
    return older > 1 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
