#include <boost/test/unit_test.hpp>

#include "gateway/host_record.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(HostRecordTest)

BOOST_AUTO_TEST_CASE(aRecordRoundTripsThroughText)
{
    const auto record = parseHostRecord(hostRecordText({{"10.0.0.1", 7600}, {0.12, 20}, "a centre"}));
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->address.port == 7600);
    BOOST_TEST((record->capacity == HostCapacity{0.12, 20}));
    BOOST_TEST(record->dataCentre == "a centre");
}

BOOST_AUTO_TEST_CASE(aRecordWithoutCapacityStillNamesAHost)
{
    // Guards against hosts that other hosts ignore while two releases run side by side.
    for (const char *text : {"10.0.0.1:7600", "10.0.0.1:7600 ", "10.0.0.1:7600 many links", "10.0.0.1:7600 -1 99999999999999"}) {
        const auto record = parseHostRecord(text);
        BOOST_REQUIRE(record.has_value());
        BOOST_TEST((record->capacity == HostCapacity{}));
    }
    BOOST_TEST(!parseHostRecord("nowhere 1 1").has_value());
    BOOST_TEST(!parseHostRecord("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
