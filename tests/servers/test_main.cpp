#define BOOST_TEST_MODULE servers
#include <boost/test/unit_test.hpp>
