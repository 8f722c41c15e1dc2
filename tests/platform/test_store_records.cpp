#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/store_records.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const PlatformStoreRecords records;

StoreEntry entryOf(std::string key, std::string value)
{
    return {std::move(key), std::move(value), 7, false};
}

const std::string engineEntry = R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","coldLeftMs":0,)"
                                R"("models":[{"name":"m","version":3,"adapters":[]}],"seq":4,"born":1773883766765})";

const std::vector<std::string> strangeEntries{
    "",
    "not json",
    "[]",
    "null",
    R"({"service":"s"})",
    R"({"service":7,"addr":"10.0.0.9:8080","slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9","slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:99999","slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","slots":"16","state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","slots":0,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","slots":16,"state":"paused"})",
    R"({"service":"s","addr":"10.0.0.9:8080","slots":16,"state":1})",
    R"({"service":"s","addr":"10.0.0.9:8080","slots":16,"state":"ready","models":[{"name":"m","version":"3"}]})",
    "\xff\xfe\x01",
    R"({"service":"s","addr":"10.0.0.9:8080","version":"v1","slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":1,"slots":16,"state":"ready"})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","born":"1"})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","models":null})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","models":{}})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","models":["m"]})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","models":[{"version":3}]})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","stage":"colocated"})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","stage":"colocated","models":[]})",
};

/// A configuration of which one field is replaced.
std::string configurationWith(const std::string &routeField, const std::string &serviceField, const std::string &topField)
{
    return R"({"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","service":"s")" + routeField + R"(}],"services":[{"name":"s")" + serviceField
        + "}]" + topField + '}';
}

std::string withTeam(const std::string &field)
{
    return configurationWith({}, {}, R"(,"tenants":[{"name":"t","apiKeys":["k"])" + field + "}]");
}

const std::vector<std::string> wrongConfigurations{
    configurationWith({}, {}, R"(,"tenants":null)"),
    configurationWith({}, {}, R"(,"tenants":{})"),
    configurationWith({}, {}, R"(,"tenants":"x")"),
    configurationWith({}, {}, R"(,"tenants":["x"])"),
    configurationWith({}, {}, R"(,"tenants":[{"name":"","apiKeys":["k"]}])"),
    configurationWith({}, {}, R"(,"tenants":[{"apiKeys":["k"]}])"),
    configurationWith({}, {}, R"(,"tenants":[{"name":"t","apiKeys":"k"}])"),
    configurationWith({}, {}, R"(,"tenants":[{"name":"t","apiKeys":null}])"),
    configurationWith({}, {}, R"(,"tenants":[{"name":"t","apiKeys":[""]}])"),
    configurationWith({}, {}, R"(,"tenants":[{"name":"t","apiKeys":[7]}])"),
    withTeam(R"(,"isolated":"true")"),
    withTeam(R"(,"isolated":1)"),
    withTeam(R"(,"isolated":null)"),
    withTeam(R"(,"ratePerS":"1000")"),
    withTeam(R"(,"ratePerS":null)"),
    withTeam(R"(,"ratePerS":-1)"),
    withTeam(R"(,"burst":[])"),
    withTeam(R"(,"plainTokens":"200")"),
    withTeam(R"(,"unit":7)"),
    withTeam(R"(,"priority":"0")"),
    configurationWith(R"(,"public":"false")", {}, {}),
    configurationWith(R"(,"public":null)", {}, {}),
    configurationWith(R"(,"resumable":1)", {}, {}),
    configurationWith(R"(,"kind":7)", {}, {}),
    configurationWith(R"(,"maxAttempts":"9")", {}, {}),
    configurationWith(R"(,"timeoutMs":"100")", {}, {}),
    configurationWith(R"(,"timeoutMs":-1)", {}, {}),
    configurationWith(R"(,"trafficSplit":{"s":1})", {}, {}),
    configurationWith(R"(,"trafficSplit":[{"weight":1}])", {}, {}),
    configurationWith(R"(,"trafficSplit":[{"service":"s","weight":"1"}])", {}, {}),
    configurationWith({}, R"(,"engine":null)", {}),
    configurationWith({}, R"(,"engine":{"kvCapacity":"1"})", {}),
    configurationWith({}, R"(,"kvStoreAddr":7)", {}),
    configurationWith({}, {}, R"(,"limits":null)"),
    configurationWith({}, {}, R"(,"limits":{"maxBodyBytes":"1"})"),
    configurationWith({}, {}, R"(,"limits":{"maxBodyBytes":-1})"),
    R"({"version":2})",
    R"({"version":2,"routes":null})",
    R"({"version":2,"routes":["r"]})",
    R"({"version":2,"routes":[{"host":"h","service":"s"}]})",
    R"({"version":2,"routes":[{"host":"h","pathPrefix":"","service":"s"}]})",
    R"({"version":2,"routes":[{"pathPrefix":"/a/","service":"s"}]})",
    R"({"version":2,"routes":[{"host":"h","pathPrefix":"/a/"}]})",
    R"({"version":2,"routes":[],"services":{}})",
    R"({"version":2,"routes":[],"services":[{}]})",
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRecordsTest)

BOOST_AUTO_TEST_CASE(anEngineIsReadFromItsEntry)
{
    Reason reason;
    const auto target = records.parseTarget(entryOf("servers/i-1", engineEntry), reason);
    BOOST_REQUIRE(target.has_value());
    BOOST_TEST(target->id == "i-1");
    BOOST_TEST(target->address.host == "10.0.0.9");
    BOOST_TEST(target->address.port == 8080);
    BOOST_TEST(target->softwareVersion == "v1");
    BOOST_TEST(target->slots == 16);
    BOOST_TEST(target->incarnation == 1773883766765);
    BOOST_TEST(!target->isLeaving);
    BOOST_REQUIRE(target->models.size() == 1U);
    BOOST_TEST(target->models[0].version == 3);
}

BOOST_AUTO_TEST_CASE(aPlainTargetHasNoModels)
{
    // Targets of plain services leave the list of models out. Read as a list that points nowhere, the first such entry ended every
    // router of the fleet at once.
    Reason reason;
    const auto target =
        records.parseTarget(entryOf("servers/i-2", R"({"service":"l","addr":"10.0.0.8:80","zone":"z","version":"v1","slots":6,"state":"draining"})"), reason);
    BOOST_REQUIRE(target.has_value());
    BOOST_TEST(target->models.empty());
    BOOST_TEST(target->isLeaving);
}

BOOST_DATA_TEST_CASE(aStrangeEntryNamesNoTarget, boost::unit_test::data::make(strangeEntries), text)
{
    // Another writer leaves an entry with fields missing, of other types, or bytes that are no text. Callers would be sent to an
    // address that nobody serves.
    Reason reason;
    BOOST_TEST(!records.parseTarget(entryOf("servers/x", text), reason).has_value());
    BOOST_TEST((reason.code == ResultCode::MalformedJson));
}

BOOST_AUTO_TEST_CASE(aRolloutOrderIsRead)
{
    Reason reason;
    const auto order = records.parseRollout(entryOf("op/rollout/s", R"({"service":"s","target":"v2","durationS":12})"), reason);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->service == "s");
    BOOST_TEST(order->version == "v2");
    BOOST_TEST((order->duration == Duration(12s)));
}

BOOST_DATA_TEST_CASE(aGarbledRolloutOrderIsNone,
                     boost::unit_test::data::make(std::vector<std::string>{"",
                                                                           "[]",
                                                                           R"({"service":"s","target":"v2"})",
                                                                           R"({"service":"s","target":"","durationS":12})",
                                                                           R"({"service":"s","target":2,"durationS":12})",
                                                                           R"({"service":"other","target":"v2","durationS":12})",
                                                                           R"({"service":"s","target":"v2","durationS":-1})"}),
                     text)
{
    Reason reason;
    BOOST_TEST(!records.parseRollout(entryOf("op/rollout/s", text), reason).has_value());
    BOOST_TEST((reason.code == ResultCode::MalformedJson));
}

BOOST_AUTO_TEST_CASE(theStatusOfARolloutIsWritten)
{
    BOOST_TEST(records.rolloutStatusKey("s") == "status/rollout/s");
    BOOST_TEST(records.rolloutStatusText({1, RolloutPhase::Switching, 3, 7, {}, "v\"2"}) == R"({"state":"running","target":"v\"2"})");
    BOOST_TEST(records.rolloutStatusText({1, RolloutPhase::RolledBack, 3, 7, {}, "v2"}) == R"({"state":"rolled_back","target":"v2"})");
}

BOOST_AUTO_TEST_CASE(aConfigurationIsReadWhole)
{
    const std::string text =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":600,"priority":1,)"
        R"("trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":1,"public":false,"resumable":true,"gapAimMs":250},)"
        R"({"name":"q","host":"h","pathPrefix":"/b/","kind":"safe","timeoutMs":1500.5,"service":"t","maxAttempts":2,"public":true}],)"
        R"("services":[{"name":"s","healthPath":"/health","maxConns":180,"engine":{"kvCapacity":144019}},{"name":"k","kvStoreAddr":"10.9.0.2:8604","zone":"z"}],)"
        R"("limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},)"
        R"("tenants":[{"name":"team","apiKeys":["k1","k2"],"priority":2,"unit":"tokens","plainTokens":200,"isolated":true,"ratePerS":1000,"burst":2000.5}]})";
    Reason reason;
    const auto table = records.parseConfiguration(entryOf("op/config", text), reason);
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->version == 7);
    BOOST_TEST(table->revision == 7);
    const Route *stream = table->findRoute("h", "/a/x");
    BOOST_REQUIRE((stream != nullptr));
    BOOST_TEST((stream->kind == RouteKind::Stream && stream->isIdempotent()));
    BOOST_TEST(stream->split.size() == 2U);
    BOOST_TEST((stream->eventGap == 250ms));
    const Route *plain = table->findRoute("h", "/b/x");
    BOOST_REQUIRE((plain != nullptr));
    BOOST_TEST((plain->kind == RouteKind::Idempotent && plain->isPublic));
    BOOST_TEST((plain->timeout > 1500ms && plain->timeout < 1501ms));
    const Team *team = table->findTeam("k2");
    BOOST_REQUIRE((team != nullptr));
    BOOST_TEST((team->isIsolated && team->priority == 2));
    BOOST_TEST(team->burst == 2000.5);
    BOOST_TEST(table->limits.headBytes == 100U);
    BOOST_REQUIRE(table->cacheStores.size() == 1U);
    BOOST_TEST(table->cacheStores[0].address == "10.9.0.2:8604");
}

BOOST_AUTO_TEST_CASE(aRouteOfUnknownKindRunsAtMostOnce)
{
    Reason reason;
    const auto table = records.parseConfiguration(
        entryOf("op/config", R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"new","service":"s"}]})"), reason);
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(!table->routes[0].isIdempotent());
}

// Guards against an absence taken for permission: an empty list of teams that opens all routes to everybody.
BOOST_AUTO_TEST_CASE(onlyAMissingListOfTeamsMeansThatNoKeyIsNeeded)
{
    Reason reason;
    const auto read = [&reason](const std::string &teams) {
        return records.parseConfiguration(entryOf("op/config", configurationWith({}, {}, teams)), reason);
    };
    const auto without = read({});
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(!without->requiresKeys);
    for (const char *teams : {R"(,"tenants":[])", R"(,"tenants":[{"name":"t"}])", R"(,"tenants":[{"name":"t","apiKeys":[]}])"}) {
        const auto closed = read(teams);
        BOOST_REQUIRE(closed.has_value());
        BOOST_TEST(closed->requiresKeys);
        BOOST_TEST(closed->teamOfKey.empty());
    }
    BOOST_TEST(read(R"(,"tenants":[{"name":"t","apiKeys":["k"]}])")->requiresKeys);
}

// Guards against a field of another type that counts as missing: as open routes, a team that is not isolated, a rate without limit.
BOOST_DATA_TEST_CASE(aConfigurationWithAWrongFieldIsNone, boost::unit_test::data::make(wrongConfigurations), text)
{
    Reason reason;
    BOOST_TEST(!records.parseConfiguration(entryOf("op/config", text), reason).has_value());
    BOOST_TEST((reason.code == ResultCode::MalformedJson));
    BOOST_TEST(!reason.text.empty());
}

BOOST_AUTO_TEST_CASE(aReasonNamesTheField)
{
    Reason reason;
    records.parseConfiguration(entryOf("op/config", withTeam(R"(,"isolated":"yes")")), reason);
    BOOST_TEST(reason.text == "tenants[0].isolated: must be true or false");
}

BOOST_AUTO_TEST_CASE(aConfigurationThatCannotBeReadIsNone)
{
    Reason reason;
    BOOST_TEST(!records.parseConfiguration(entryOf("op/config", "{"), reason).has_value());
    BOOST_TEST(!records.parseConfiguration(entryOf("op/config", R"({"version":"7"})"), reason).has_value());
    BOOST_TEST(!records.parseWeights(entryOf("op/version/m", R"({"model":"m"})"), reason).has_value());
    BOOST_TEST(records.parseWeights(entryOf("op/version/m", R"({"model":"m","version":2})"), reason)->version == 2);
}

BOOST_AUTO_TEST_SUITE_END()
