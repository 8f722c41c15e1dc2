#include <boost/test/unit_test.hpp>

#include "drivers/etcd_codec.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EtcdCodecTest)

BOOST_AUTO_TEST_CASE(base64KeepsAllBytes)
{
    constexpr std::size_t allBytes = 256;
    std::string bytes;
    for (std::size_t length = 0; length <= allBytes; ++length) {
        BOOST_TEST((decodeBase64(encodeBase64(bytes)) == bytes));
        bytes.push_back(static_cast<char>(length));
    }
    BOOST_TEST(encodeBase64("ab") == "YWI=");
    BOOST_TEST(!decodeBase64("YWI").has_value());
    BOOST_TEST(!decodeBase64("Y*I=").has_value());
}

BOOST_AUTO_TEST_CASE(rangeEndsAfterTheLastKeyWithThePrefix)
{
    BOOST_TEST(prefixRangeEnd("config/") == "config0");
    BOOST_TEST(prefixRangeEnd("a\xff") == "b");
    BOOST_TEST(prefixRangeEnd("\xff") == std::string(1, '\0'));
    BOOST_TEST(prefixRangeEnd("") == std::string(1, '\0'));
}

BOOST_AUTO_TEST_SUITE_END()
