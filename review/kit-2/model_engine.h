#pragma once

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "review/kit-2/deployment.h"

namespace Review2
{

/// A part of a request's prompt that was found in an engine's KV cache.
struct PartUse
{
    std::string request;
    std::string tenant;
    std::string part;
    std::string maker; ///< Tenant whose request made the part.
};

/// The KV cache of a model engine, as the pages describe it: parts are kept under the text of `Lovageloft-Cache-Salt`, an absent one counts as a text of
/// its own, and a part is found only under the same text if all parts before it are found too. Nothing is evicted. Thread-safe.
class ModelEngine
{
public:
    ModelEngine(std::string id, Record &record);

    /// Answers as the engine does; the engine must outlive the server.
    Lovageloft::ScriptedTarget::Script script();

    std::vector<PartUse> uses() const;

private:
    void runRequest(Lovageloft::ScriptedTarget::Connection &connection, const Lovageloft::ScriptedTarget::Request &request);

    std::string id_;
    Record &record_;
    mutable std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, std::string> makers_; ///< Tenant by text and part.
    std::vector<PartUse> uses_;
};

/// A streaming request of a tenant's key to a model's route; `parts` as in `Lovageloft-Prefix-Hash`.
std::string modelRequest(const std::string &path, const std::string &id, const std::string &key, const std::string &parts);

} // namespace Review2
