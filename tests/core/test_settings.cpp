#include <array>

#include <boost/test/unit_test.hpp>

#include "core/log.h"
#include "core/settings.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(defaultsHoldWhereTheFileIsSilent)
{
    Reason reason;
    const auto settings = parseSettings("[host]\nname = \"h1\"\n[callers]\nport = 9000\n", "a.toml", reason);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->hostName == "h1");
    BOOST_TEST(settings->callerPort == 9000);
    BOOST_TEST(settings->bodyLimit == 8 * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(eachMistakeNamesFileLineKeyAndRange)
{
    // An operator mistypes a setting. Without the check the host would start with a default in its place,
    // which shows up only under load.
    struct Example
    {
        std::string_view text;
        ResultCode code;
        std::string_view message;
    };

    constexpr std::array examples = std::to_array<Example>({
        {"[host]\nnam = \"x\"\n", ResultCode::SettingsUnknownKey, "a.toml:2: host.nam: unknown key; allowed: name, data_centre"},
        {"[hosts]\n", ResultCode::SettingsUnknownKey, "a.toml:1: hosts: unknown section; allowed: host, callers, operators, peers, store, routing, log"},
        {"[host]\nname = \"x\"\n[callers]\nport = \"80\"\n",
         ResultCode::SettingsWrongType,
         "a.toml:4: callers.port: must be a whole number; allowed: 0 to 65535"},
        {"[host]\nname = \"x\"\n[callers]\nport = 70000\n",
         ResultCode::SettingsOutOfRange,
         "a.toml:4: callers.port: 70000 is out of range; allowed: 0 to 65535"},
        {"[host]\nname = \"x\"\n[store]\nkind = \"disk\"\n", ResultCode::SettingsOutOfRange, "a.toml:4: store.kind: is not allowed; allowed: memory|etcd"},
        {"[peers]\nknown = [1]\n", ResultCode::SettingsWrongType, "a.toml:2: peers.known: must be a list of texts; allowed: 0 to 1000 entries"},
        {"", ResultCode::SettingsMissing, "a.toml:1: host.name: is missing; allowed: 1 to 64 characters"},
    });
    for (const Example &example : examples) {
        Reason reason;
        BOOST_TEST(!parseSettings(example.text, "a.toml", reason).has_value());
        BOOST_TEST((reason.code == example.code));
        BOOST_TEST(reason.text == example.message);
    }
    Reason reason;
    BOOST_TEST(!parseSettings("[host\n", "a.toml", reason).has_value());
    BOOST_TEST((reason.code == ResultCode::SettingsSyntax));
}

BOOST_AUTO_TEST_CASE(logFieldsAreValidJson)
{
    const std::string fields = formatLogFields({{"team", "a\"b\n"}, {"tokens", std::int64_t{5}}, {"is_run", true}});
    BOOST_TEST(fields == R"(,"team":"a\"b\u000a","tokens":5,"is_run":true)");
}

BOOST_AUTO_TEST_SUITE_END()
