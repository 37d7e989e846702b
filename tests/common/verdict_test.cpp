#include "common/verdict.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against two reasons that share a name, which would merge their counters.
TEST_CASE("each refusal reason has a unique name that parses back to it") {
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        const auto reason = static_cast<refusal_reason>(index);
        names.insert(to_string(reason));
        CHECK(parse_refusal_reason(to_string(reason)) == reason);
    }
    CHECK(names.size() == refusal_reason_count);
    CHECK_FALSE(parse_refusal_reason("no-such-reason").has_value());
}

TEST_CASE("each verdict name parses back to its verdict") {
    for (const auto value : {verdict::not_run, verdict::may_have_run, verdict::ran}) {
        CHECK(parse_verdict(to_string(value)) == value);
    }
    CHECK_FALSE(parse_verdict("maybe").has_value());
}

}  // namespace masticpass
