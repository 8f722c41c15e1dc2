#define BOOST_TEST_MODULE memory
#include <boost/test/unit_test.hpp>
