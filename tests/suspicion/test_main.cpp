#define BOOST_TEST_MODULE suspicion
#include <boost/test/unit_test.hpp>
