#include "telemetry/guarded_call.h"

#include <stdexcept>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against a process that an unexpected error in one of its threads ends.
TEST_CASE("an exception ends the guarded call and nothing else") {
    CHECK(call_guarded("test", [] {}));
    CHECK_FALSE(call_guarded("test", [] { throw std::runtime_error("x"); }));
    CHECK_FALSE(call_guarded("test", [] { throw 1; }));  // NOLINT(hicpp-exception-baseclass)
}

}  // namespace masticpass
