#define BOOST_TEST_MODULE system
#include <boost/test/unit_test.hpp>
