#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "coordination/memory_store.h"
#include "tests/stand_ins/scripted_target.h"

namespace Lovageloft
{

/// The platform's metadata store over HTTP, according to its published protocol, on top of a MemoryStore.
class StandInKvStore
{
public:
    enum class Fault : std::uint8_t
    {
        None,
        Busy, ///< Responds with 503 and performs nothing.
        Silent, ///< Sends no response and performs nothing.
        LostAnswer, ///< Performs the call and resets the connection.
        Stalled, ///< Sends half of the response and nothing more.
    };

    StandInKvStore();

    std::uint16_t port() const;
    MemoryStore &memory();

    /// Sets the fault of all later calls.
    void setFault(Fault fault);

    /// Sets the rate in bytes a second at which later responses are sent; 0 for no limit.
    void setRate(std::size_t bytesPerSecond);

    /// Sets the era stated in responses, instead of that of the memory. May be no number; empty for none.
    void setEraText(const std::string &text);

    int calls() const;

private:
    void answer(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request);
    std::string eraField();
    std::string perform(const ScriptedTarget::Request &request, int &status);
    std::string transact(const std::string &body, int &status);

    MemoryStore memory_;
    std::atomic<Fault> fault_ = Fault::None;
    std::atomic<std::size_t> rate_ = 0;
    std::mutex mutex_;
    std::optional<std::string> eraText_;
    ScriptedTarget server_;
};

} // namespace Lovageloft
