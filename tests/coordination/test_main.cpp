#define BOOST_TEST_MODULE coordination
#include <boost/test/unit_test.hpp>
