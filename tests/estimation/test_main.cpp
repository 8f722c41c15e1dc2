#define BOOST_TEST_MODULE estimation
#include <boost/test/unit_test.hpp>
