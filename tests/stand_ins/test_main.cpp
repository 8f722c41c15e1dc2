#define BOOST_TEST_MODULE stand_ins
#include <boost/test/unit_test.hpp>
