#include <boost/test/unit_test.hpp>

#include "coordination/configuration.h"

using namespace Lovageloft;

namespace
{

Ticket teamTicket(std::int64_t number, std::string_view name, double rate)
{
    Ticket ticket{number, "nino", {}};
    ticket.objects.emplace_back(TeamConfiguration{std::string(name), rate, 100, {}});
    return ticket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

BOOST_AUTO_TEST_CASE(aTicketRoundTripsThroughJson)
{
    Ticket ticket = teamTicket(3, "desk", 50);
    ticket.objects.emplace_back(TargetConfiguration{"e1", TargetKind::Engine, "", "127.0.0.1:9", "dc1", "m", true, TargetState::Leaving, {}});
    ticket.objects.emplace_back(
        TargetConfiguration{"s1", TargetKind::Service, "orders", "127.0.0.1:8", "", "", false, TargetState::Serving, {{"POST", "/confirm"}}});
    ticket.objects.emplace_back(ModelConfiguration{"m", "v2"});
    ticket.objects.emplace_back(HostsConfiguration{{{"h1", "127.0.0.1:1", "dc1"}}});
    ticket.objects.emplace_back(RemovedObject{"team", "old"});
    Reason reason;
    const auto parsed = parseTicket(formatTicket(ticket), reason);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), reason.text);
    BOOST_TEST((*parsed == ticket));
    ConfigurationState state;
    BOOST_TEST(state.apply(ticket, reason));
    const auto restored = parseConfigurationState(state.toJson(), reason);
    BOOST_REQUIRE_MESSAGE(restored.has_value(), reason.text);
    BOOST_TEST(restored->toJson() == state.toJson());
}

BOOST_AUTO_TEST_CASE(anOlderTicketNeverReverts)
{
    // Guards against two racing operators of whom the slower one's older ticket arrives last. Without the check it would overwrite a team's
    // new rate.
    ConfigurationState state;
    Reason reason;
    BOOST_TEST(state.apply(teamTicket(5, "desk", 50), reason));
    BOOST_TEST(!state.apply(teamTicket(4, "desk", 40), reason));
    BOOST_TEST((reason.code == ResultCode::TicketStale));
    BOOST_TEST(!state.apply(teamTicket(5, "desk", 50), reason));
    BOOST_TEST((reason.code == ResultCode::TicketAlreadyAccepted));
    BOOST_TEST(!state.apply(teamTicket(5, "desk", 51), reason));
    BOOST_TEST((reason.code == ResultCode::TicketConflict));
    BOOST_TEST(state.teams().at("desk").rate == 50);
}

BOOST_AUTO_TEST_CASE(aTicketThatIsStaleOnOneObjectChangesNone)
{
    ConfigurationState state;
    Reason reason;
    BOOST_TEST(state.apply(teamTicket(5, "desk", 50), reason));
    Ticket both = teamTicket(4, "press", 10);
    both.objects.emplace_back(TeamConfiguration{"desk", 1, 1, {}});
    BOOST_TEST(!state.apply(both, reason));
    BOOST_TEST(!state.teams().contains("press"));
}

BOOST_AUTO_TEST_CASE(invalidTicketsAreRejectedWithTheField)
{
    Reason reason;
    BOOST_TEST(!parseTicket("{", reason).has_value());
    BOOST_TEST(!parseTicket(R"({"ticket":0,"operator":"a","objects":[]})", reason).has_value());
    BOOST_TEST(!parseTicket(R"({"ticket":1,"operator":"a","objects":[{"kind":"team","name":"t","rate":-1,"burst":1,"keys":[]}]})", reason).has_value());
    BOOST_TEST(reason.text == "rate: is out of range");
    BOOST_TEST(!parseTicket(R"({"ticket":1,"operator":"a","objects":[{"kind":"model","name":"t","weights":"1"}]})", reason).has_value());
    BOOST_TEST(reason.text == "weights: unknown field");
}

BOOST_AUTO_TEST_CASE(aKeyMatchesItsDigestOnly)
{
    const KeyDigest digest = makeKeyDigest("k1", "secret-one");
    BOOST_TEST(matchesKey(digest, "secret-one"));
    BOOST_TEST(!matchesKey(digest, "secret-two"));
}

BOOST_AUTO_TEST_SUITE_END()
