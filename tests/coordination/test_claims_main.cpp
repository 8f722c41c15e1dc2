#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>
