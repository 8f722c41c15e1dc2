#define BOOST_TEST_MODULE orders
#include <boost/test/unit_test.hpp>
