#define BOOST_TEST_MODULE decision
#include <boost/test/unit_test.hpp>
