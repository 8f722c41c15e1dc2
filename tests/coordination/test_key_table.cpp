#include <boost/test/unit_test.hpp>

#include "coordination/key_table.h"

using namespace Lovageloft;

namespace
{

KeyTable makeTable(const std::vector<TeamConfiguration> &teams)
{
    ConfigurationState state;
    Ticket ticket{1, "nino", {}};
    ticket.objects.assign(teams.begin(), teams.end());
    Reason reason;
    BOOST_REQUIRE(state.apply(ticket, reason));
    return KeyTable(state);
}

std::string teamOf(const KeyTable &table, std::string_view key)
{
    const auto match = table.find(key);
    return match.has_value() ? match->team : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyTableTest)

BOOST_AUTO_TEST_CASE(aKeyFindsItsTeamOnly)
{
    const KeyTable table = makeTable({
        {"desk", 1, 1, {makeKeyDigest("lk-desk", "lk-desk-s1"), makeKeyDigest("old", "plain-secret")}},
        {"press", 1, 1, {makeKeyDigest("lk-press-2", "lk-press-2-s2"), makeKeyDigest("lk-desk", "lk-desk-s3")}},
    });
    const std::pair<const char *, const char *> cases[] = {
        {"lk-desk-s1", "desk"},
        {"lk-desk-s3", "press"}, // The public id is no secret and need not be unique.
        {"lk-press-2-s2", "press"},
        {"plain-secret", "desk"},
        {"lk-desk-s2", ""},
        {"lk-none-s1", ""},
        {"lk-desk", ""},
        {"lk-", ""},
        {"lk-desk-", ""},
        {"", ""},
        {"plain-secre", ""},
    };
    for (const auto &[key, team] : cases) {
        BOOST_TEST(teamOf(table, key) == team, key);
    }
    BOOST_TEST((table.find("lk-desk-s1") == KeyMatch{"desk", "lk-desk"}));
}

BOOST_AUTO_TEST_CASE(aKeyOfTwoTeamsMatchesNeither)
{
    // Guards against an operator who gives one key to two teams. If the first match counted, one team's requests would be charged to the
    // other.
    const KeyTable table = makeTable({
        {"desk", 1, 1, {makeKeyDigest("k", "same"), makeKeyDigest("k2", "twice"), makeKeyDigest("k3", "twice")}},
        {"press", 1, 1, {makeKeyDigest("k", "same")}},
    });
    BOOST_TEST(teamOf(table, "same").empty());
    BOOST_TEST(teamOf(table, "twice") == "desk");
}

BOOST_AUTO_TEST_SUITE_END()
