#pragma once

#include <atomic>
#include <cstdint>

namespace Lovageloft
{

/// How far a graceful shutdown has come.
enum class DrainPhase : std::uint8_t
{
    Serving,
    Announced, ///< /ready fails and connections are asked to close, but new work is served: the balancer lags.
    Closing, ///< No new work; what runs is completed.
};

/// Shared by all connections of a host.
class DrainState
{
public:
    DrainPhase phase() const
    {
        return phase_.load();
    }

    void setPhase(DrainPhase phase)
    {
        phase_.store(phase);
    }

    std::int64_t running() const
    {
        return running_.load();
    }

    /// Counts a request that is being served for as long as it lives.
    class Running
    {
    public:
        explicit Running(DrainState &state)
            : state_(state)
        {
            ++state_.running_;
        }

        ~Running()
        {
            --state_.running_;
        }

        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;

    private:
        DrainState &state_;
    };

private:
    std::atomic<DrainPhase> phase_{DrainPhase::Serving};
    std::atomic<std::int64_t> running_{0};
};

} // namespace Lovageloft
