/// The operator takes the only tenant away, and with it the only key. Later requests with that key, and with one that never was, must not run.

#include <thread>

#include "review/kit-2/deployment.h"

using namespace Review2;
using namespace std::chrono_literals;

namespace
{

constexpr int ok = 200;
constexpr int requestsOfEachKey = 5;
constexpr std::chrono::milliseconds revokeBound{5'000};

std::string configuration(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("book", "unsafe", "ledger") + "," + route("read", "safe", "ledger")
        + R"(],"services":[{"name":"ledger"}],"limits":{},"tenants":)" + tenants + '}';
}

/// Adds a server that records what it runs.
void addLedger(Deployment &deployment, const std::string &id, Record &record)
{
    deployment.addServer(
        {id, "ledger", {}, [id, &record](Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request) {
             record.add("server " + id + " runs " + request.field("Lovageloft-Request-Id") + " of tenant '" + request.field("Lovageloft-Tenant") + "'");
             connection.answer(request, ok, "done");
         }});
}

/// Sends requests with a key to all hosts; returns how many succeeded.
int countServed(const Deployment &deployment, std::size_t hosts, const std::string &label, const std::string &key, Record &record)
{
    int served = 0;
    for (int i = 0; i < requestsOfEachKey; ++i) {
        const std::string id = joined({label, "-", std::to_string(i)});
        const Answer answer = deployment.ask(static_cast<std::size_t>(i) % hosts, postRequest("/book/" + id, id, "Api-Key: " + key + "\r\n"));
        record.add(joined({"client sent ", id, " with key ", key, ", answered ", std::to_string(answer.status)}));
        served += answer.status == ok ? 1 : 0;
    }
    return served;
}

Verdict run(const std::vector<std::string> &runWords, Record &record)
{
    constexpr std::size_t hosts = 2;
    const std::string tenants = R"([{"name":"desk","priority":1,"ratePerS":0,"burst":0,"unit":"tokens","plainTokens":200,"apiKeys":["key-of-desk"]}])";
    Deployment deployment(runWords, hosts, record);
    deployment.write("op/config", configuration(1, tenants));
    addLedger(deployment, "i-1", record);
    addLedger(deployment, "i-2", record);
    if (!deployment.start() || countServed(deployment, hosts, "before", "key-of-desk", record) != requestsOfEachKey
        || countServed(deployment, hosts, "unknown", "key-of-nobody", record) != 0) {
        return Verdict::NotRun;
    }
    if (!hasTrouble()) {
        deployment.write("op/config", configuration(2, tenants));
        std::this_thread::sleep_for(revokeBound + 1s);
        const bool serves = countServed(deployment, hosts, "after", "key-of-desk", record) == requestsOfEachKey;
        return serves && countServed(deployment, hosts, "unknown-after", "key-of-nobody", record) == 0 ? Verdict::Held : Verdict::Broken;
    }
    deployment.write("op/config", configuration(2, "[]"));
    std::this_thread::sleep_for(revokeBound + 1s);
    const int revoked = countServed(deployment, hosts, "after", "key-of-desk", record);
    const int unknown = countServed(deployment, hosts, "unknown-after", "key-of-nobody", record);
    record.add("run with the key that was taken away: " + std::to_string(revoked) + ", with a key that no configuration held: " + std::to_string(unknown));
    return revoked + unknown == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
