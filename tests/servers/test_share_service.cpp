#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "servers/share_service.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

class NoTransport final : public ShareTransport
{
public:
    void ask(const DebitRequest & /*request*/) override
    {
    }

    void settle(const DebitSettlement & /*settlement*/) override
    {
    }
};

} // namespace

// Guards against a team whose first call is refused as over its rate, whenever it comes.
BOOST_AUTO_TEST_CASE(theFirstCallOfATeamIsNotOverItsRate)
{
    Metrics metrics;
    NoTransport transport;
    ShareService shares("host", "1", true, metrics);
    shares.setTransport(transport);
    ConfigurationState state;
    Reason reason;
    Ticket ticket{1, "test", {}};
    ticket.objects.emplace_back(TeamConfiguration{"press", 100'000, 200'000, {}});
    BOOST_REQUIRE_MESSAGE(state.apply(ticket, reason), reason.text);
    shares.setConfiguration(1, state);
    shares.onInForce(1);
    shares.setFreshUntil(BootClock::now() + 1h);
    std::this_thread::sleep_for(ShareOptions().growDelay + 500ms);
    Refusal refusal;
    BOOST_TEST(shares.charge("press", 100, refusal).has_value(), refusal.reason.text);
}
