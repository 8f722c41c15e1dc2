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

/// The platform's metadata store over HTTP, as its published protocol says, on top of a store in memory.
class StandInKvStore
{
public:
    enum class Fault : std::uint8_t
    {
        None,
        Busy, ///< 503; nothing is done.
        Silent, ///< No answer, nothing done.
        LostAnswer, ///< Done, and the connection is reset.
        Stalled, ///< Half of the answer, then silence.
    };

    StandInKvStore();

    std::uint16_t port() const;
    MemoryStore &memory();

    /// The fault of all calls from now on.
    void setFault(Fault fault);

    /// Bytes a second in which answers are sent from now on; 0: as fast as they are taken.
    void setRate(std::size_t bytesPerSecond);

    /// The era named in answers, in place of that of the memory: may be no number, or empty for none.
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
