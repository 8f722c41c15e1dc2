#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>
