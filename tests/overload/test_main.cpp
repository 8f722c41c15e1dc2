#define BOOST_TEST_MODULE overload
#include <boost/test/unit_test.hpp>
