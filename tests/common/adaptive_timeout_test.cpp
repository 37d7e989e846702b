#include "common/adaptive_timeout.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

constexpr adaptive_timeout::limits limits = {.minimum = absl::Milliseconds(300), .maximum = absl::Seconds(1)};

}  // namespace

// Guards against a lost response that holds up all records behind it for the longest timeout.
TEST_CASE("after fast responses a lost one is noticed early") {
    adaptive_timeout timeout(limits);
    CHECK(timeout.current() == absl::Seconds(1));
    for (int call = 0; call < 100; ++call) {
        timeout.record_response(absl::Milliseconds(call % 10 == 0 ? 40 : 5));
    }
    CHECK(timeout.current() == absl::Milliseconds(300));
    // Half of the responses are lost, each followed by one that arrives.
    for (int call = 0; call < 20; ++call) {
        const absl::Duration used = timeout.current();
        CHECK(used <= absl::Milliseconds(600));
        timeout.record_timeout(used);
        timeout.record_response(absl::Milliseconds(5));
        CHECK(timeout.current() == absl::Milliseconds(300));
    }
}

// Guards against a server that has turned slow and that no call waits for any more.
TEST_CASE("the timeout grows beyond the response time of a server that turns slow") {
    adaptive_timeout timeout(limits);
    for (int call = 0; call < 100; ++call) {
        timeout.record_response(absl::Milliseconds(5));
    }
    int timeouts = 0;
    for (int call = 0; call < 100; ++call) {
        const absl::Duration response_time = absl::Milliseconds(call % 2 == 0 ? 500 : 700);
        const absl::Duration used = timeout.current();
        if (used < response_time) {
            ++timeouts;
            timeout.record_timeout(used);
        } else {
            timeout.record_response(response_time);
        }
    }
    CHECK(timeouts <= 4);
    for (int call = 0; call < 10; ++call) {
        timeout.record_timeout(timeout.current());
    }
    CHECK(timeout.current() == absl::Seconds(1));
}

}  // namespace masticpass
