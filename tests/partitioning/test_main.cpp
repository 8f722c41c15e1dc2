#define BOOST_TEST_MODULE partitioning
#include <boost/test/unit_test.hpp>
