#define BOOST_TEST_MODULE drivers
#include <boost/test/unit_test.hpp>
