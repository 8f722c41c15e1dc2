#define BOOST_TEST_MODULE core
#include <boost/test/unit_test.hpp>
