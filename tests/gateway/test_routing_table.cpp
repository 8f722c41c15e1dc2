#include <boost/test/unit_test.hpp>

#include "gateway/routing_table.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(RoutingTableTest)

BOOST_AUTO_TEST_CASE(theLongestPrefixOfTheHostIsChosen)
{
    RoutingTable table;
    table.routes = {{.name = "all", .host = "a", .pathPrefix = "/"},
                    {.name = "deep", .host = "a", .pathPrefix = "/x/y/"},
                    {.name = "flat", .host = "a", .pathPrefix = "/x/"},
                    {.name = "other", .host = "b", .pathPrefix = "/x/y/z/"}};
    table.buildIndex();
    BOOST_TEST(table.findRoute("a", "/x/y/z/1")->name == "deep");
    BOOST_TEST(table.findRoute("a", "/x/1?q=/x/y/")->name == "flat");
    BOOST_TEST(table.findRoute("a", "/xy")->name == "all");
    BOOST_TEST((table.findRoute("b", "/x/y/1") == nullptr));
    BOOST_TEST((table.findRoute("c", "/") == nullptr));
}

BOOST_AUTO_TEST_CASE(theQueryStringNeverSelectsARoute)
{
    // A caller appends another route's path as a query string. If it were matched as part of the path, the request would reach a service
    // that its own route doesn't lead to.
    RoutingTable table;
    table.routes = {{.name = "r", .host = "a", .pathPrefix = "/p?/"}};
    table.buildIndex();
    BOOST_TEST((table.findRoute("a", "/p?/x") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
