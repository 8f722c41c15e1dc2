#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "gateway/duty.h"
#include "gateway/engine_control.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

class Gateway;

/// Watches whether the cache stores answer. They are on no list, and engines that fetch from a dead one wait for it.
class CacheStoreDuty final : public Duty
{
public:
    CacheStoreDuty(Gateway &gateway, const EngineControlFormat &format);

    /// For any thread: the stores of the newest configuration.
    void setStores(const std::vector<CacheStore> &stores);

private:
    void run() override;
    bool isAlive(const std::string &address) const;

    Gateway &gateway_;
    const EngineControlFormat &format_;
    std::mutex mutex_;
    std::vector<CacheStore> stores_;
};

} // namespace Lovageloft
