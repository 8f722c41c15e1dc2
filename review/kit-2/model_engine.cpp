#include "review/kit-2/model_engine.h"

#include <sstream>

namespace Review2
{

namespace
{

constexpr std::string_view absentText = "(absent)";
constexpr int ok = 200;
constexpr int otherInstance = 421;

} // namespace

ModelEngine::ModelEngine(std::string id, Record &record)
    : id_(std::move(id))
    , record_(record)
{
}

Lovageloft::ScriptedTarget::Script ModelEngine::script()
{
    return [this](Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request) {
        if (request.head.starts_with("GET /v1/report")) {
            connection.answer(request,
                              ok,
                              R"({"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,)"
                              R"("kvUsed":0,"kvTotal":156630,"handles":0})",
                              "Content-Type: application/json\r\n");
            return;
        }
        const std::string version = request.field("Lovageloft-Expect-Version");
        if (request.field("Lovageloft-Expect-Instance") != id_ || (!version.empty() && version != "1")) {
            connection.answer(request, otherInstance, "", "Lovageloft-Not-Executed: 1\r\nLovageloft-Instance-Id: " + id_ + "\r\n");
            return;
        }
        runRequest(connection, request);
    };
}

std::vector<PartUse> ModelEngine::uses() const
{
    const std::lock_guard lock(mutex_);
    return uses_;
}

void ModelEngine::runRequest(Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request)
{
    const std::string id = request.field("Lovageloft-Request-Id");
    const std::string tenant = request.field("Lovageloft-Tenant");
    const std::string salt = request.field("Lovageloft-Cache-Salt");
    const std::string text = salt.empty() ? std::string(absentText) : salt;
    std::string found;
    {
        const std::lock_guard lock(mutex_);
        bool isPrefixFound = true;
        std::istringstream parts(request.field("Lovageloft-Prefix-Hash"));
        for (std::string part; std::getline(parts, part, ',');) {
            const auto [entry, isNew] = makers_.try_emplace({text, part}, tenant);
            isPrefixFound = isPrefixFound && !isNew;
            if (isPrefixFound) {
                uses_.push_back({id, tenant, part, entry->second});
                found.append(" uses ").append(part).append(" made by ").append(entry->second);
            }
        }
    }
    record_.add("engine " + id_ + " runs " + id + " of tenant " + tenant + ", cache salt " + text + ", expected version '"
                + request.field("Lovageloft-Expect-Version") + "'" + found);
    connection.beginStream(request);
    connection.sendEvent(1);
    connection.endStream();
}

std::string modelRequest(const std::string &path, const std::string &id, const std::string &key, const std::string &parts)
{
    return postRequest(
        path, id, "Lovageloft-Model: m0\r\nLovageloft-Token-Count: 2000,20\r\nLovageloft-Prefix-Hash: " + parts + "\r\nApi-Key: " + key + "\r\n");
}

} // namespace Review2
