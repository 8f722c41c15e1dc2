#define BOOST_TEST_MODULE quota
#include <boost/test/unit_test.hpp>
