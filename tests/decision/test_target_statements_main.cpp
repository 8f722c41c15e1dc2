#define BOOST_TEST_MODULE target_statements
#include <boost/test/unit_test.hpp>
