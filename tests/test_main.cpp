#define DOCTEST_CONFIG_IMPLEMENT
#include <boost/log/core.hpp>
#include <doctest/doctest.h>

int main(int argc, char** argv) {
    // Boost.Log creates its core when it is first used. The installed library is not built for the thread
    // sanitizer, which reports a race if one thread of a test creates the core while another one logs.
    boost::log::core::get();
    return doctest::Context(argc, argv).run();
}
