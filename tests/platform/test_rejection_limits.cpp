#define BOOST_TEST_MODULE rejection_limits
#include <array>
#include <deque>
#include <mutex>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t targetCount = 6;
constexpr std::size_t callerCount = 36;

/// Rejections in a second above which a target falls over, as it states.
constexpr std::size_t rejectionLimit = 4;

/// Requests that a target holds at a time, before and after it shrinks.
constexpr int fullRoom = 8;
constexpr int smallRoom = 2;

constexpr Duration serviceTime = 60ms;

/// With this service time and these callers, far more is asked for than can be served within the callers' time of 1.5 s.
constexpr Duration longServiceTime = 300ms;
constexpr std::size_t addedCallers = 114;

/// A refusal within this time is prompt, and this part of them has to be.
constexpr Duration promptTime = 200ms;
constexpr double promptShare = 0.9;
constexpr Duration downTime = 1s;

constexpr Duration fullTime = 1s;
constexpr Duration smallTime = 6s;

/// The use of the smaller room counts from this time after the change.
constexpr Duration settleTime = 2s;
constexpr double minRoomUsed = 0.9;

/// Targets that state a rejection limit and fall over above it. One that has fallen over resets its connections and comes back as another incarnation.
class RejectionLimitFixture : public FleetFixture
{
public:
    RejectionLimitFixture()
        : FleetFixture(hostCount)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget(nameOf(i), [this, i](Connection &connection, const Request &request) { serve(i, connection, request); });
        }
    }

    /// Has callers of all hosts send requests, one after the other, while the targets' room shrinks. At that moment `addedCallers` more join them.
    void play(Duration serviceTime, std::size_t addedCallers = 0)
    {
        serviceTime_ = serviceTime;
        const TimePoint start = BootClock::now();
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < callerCount + addedCallers; ++i) {
            callers.emplace_back([this, i, start] {
                std::this_thread::sleep_for(i < callerCount ? Duration::zero() : fullTime);
                call(i % hostCount, start + fullTime + smallTime);
            });
        }
        while (BootClock::now() < start + fullTime + smallTime) {
            std::this_thread::sleep_for(10ms);
            if (BootClock::now() >= start + fullTime) {
                shrink(start + fullTime + settleTime);
            }
            restartFallen();
        }
        {
            const std::lock_guard lock(mutex_);
            countedFrom_ = TimePoint::max();
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    int falls() const
    {
        return falls_;
    }

    /// Part of the smaller room of all targets that was used.
    double roomUsed() const
    {
        const double capacity = toSeconds(smallTime - settleTime) / toSeconds(serviceTime_) * smallRoom * targetCount;
        return served_ / capacity;
    }

    /// Part of the refusals, from when the room had been small for a while, that came promptly.
    double promptRefusals() const
    {
        return refused_ > 0 ? prompt_ / refused_ : 1;
    }

private:
    struct State
    {
        int running = 0;
        std::deque<TimePoint> rejectedAt; ///< In the last second.
        std::optional<TimePoint> fallenAt;
    };

    void call(std::size_t host, TimePoint end)
    {
        constexpr Duration pause = 10ms;
        while (BootClock::now() < end) {
            const TimePoint sentAt = BootClock::now();
            const bool isServed = exchange(host, GatewayFixture::request("GET", "/safe/x")).starts_with("HTTP/1.1 200 ");
            {
                const std::lock_guard lock(mutex_);
                if (!isServed && sentAt >= countedFrom_) {
                    refused_ += 1;
                    prompt_ += BootClock::now() - sentAt <= promptTime ? 1 : 0;
                }
            }
            std::this_thread::sleep_for(pause);
        }
    }

    static std::string nameOf(std::size_t target)
    {
        return std::string(1, static_cast<char>('a' + target));
    }

    enum class Admission : std::uint8_t
    {
        Admitted,
        Rejected,
        Down,
    };

    Admission admit(State &state)
    {
        const std::lock_guard lock(mutex_);
        if (state.fallenAt) {
            return Admission::Down;
        }
        if (state.running < room_) {
            ++state.running;
            return Admission::Admitted;
        }
        const TimePoint now = BootClock::now();
        std::erase_if(state.rejectedAt, [now](TimePoint at) { return now - at > 1s; });
        state.rejectedAt.push_back(now);
        if (state.rejectedAt.size() <= rejectionLimit) {
            return Admission::Rejected;
        }
        ++falls_;
        state.fallenAt = now;
        return Admission::Down;
    }

    void serve(std::size_t target, Connection &connection, const Request &request)
    {
        constexpr std::string_view stated = "Server-Brittle: 4\r\n";
        State &state = states_.at(target);
        switch (admit(state)) {
        case Admission::Rejected:
            connection.answer(request, 503, "full", std::string(stated) + "Lovageloft-Not-Executed: full\r\n");
            return;
        case Admission::Down:
            connection.reset();
            return;
        case Admission::Admitted:
            break;
        }
        std::this_thread::sleep_for(serviceTime_);
        {
            const std::lock_guard lock(mutex_);
            --state.running;
            served_ += BootClock::now() >= countedFrom_ ? 1 : 0;
            if (state.fallenAt) {
                connection.reset();
                return;
            }
        }
        connection.answer(request, 200, "whole", stated);
    }

    void shrink(TimePoint countedFrom)
    {
        const std::lock_guard lock(mutex_);
        room_ = smallRoom;
        countedFrom_ = countedFrom;
    }

    void restartFallen()
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            {
                const std::lock_guard lock(mutex_);
                State &state = states_.at(i);
                if (!state.fallenAt || BootClock::now() - *state.fallenAt < downTime || state.running > 0) {
                    continue;
                }
                state = {};
            }
            changeTarget(nameOf(i), [](Target &entry) { ++entry.incarnation; });
        }
    }

    std::mutex mutex_;
    std::array<State, targetCount> states_;
    int room_ = fullRoom;
    int falls_ = 0;
    double served_ = 0;
    double refused_ = 0;
    double prompt_ = 0;
    Duration serviceTime_{};
    TimePoint countedFrom_ = TimePoint::max();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RejectionLimits, RejectionLimitFixture)

// Guards against targets that fall over again and again under requests that they have to reject, while hardly any of their room is used.
BOOST_AUTO_TEST_CASE(targetsWhoseRoomShrinksDoNotFallOverAndAreUsed)
{
    play(serviceTime);
    BOOST_TEST(falls() == 0);
    BOOST_TEST_MESSAGE("part of the room used: " << roomUsed());
    BOOST_TEST(roomUsed() >= minRoomUsed);
}

// Guards against callers that are kept waiting for most of their time and then refused, as targets hold far fewer requests than are sent.
BOOST_AUTO_TEST_CASE(whatTheRoomDoesNotSufficeForIsRefusedAtOnce)
{
    play(longServiceTime, addedCallers);
    BOOST_TEST_MESSAGE("part of the room used: " << roomUsed() << ", of the refusals prompt: " << promptRefusals());
    BOOST_TEST(falls() == 0);
    BOOST_TEST(roomUsed() >= minRoomUsed);
    BOOST_TEST(promptRefusals() >= promptShare);
}

BOOST_AUTO_TEST_SUITE_END()
