#define BOOST_TEST_MODULE queueing
#include <boost/test/unit_test.hpp>
