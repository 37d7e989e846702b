#include "common/verdict.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against two reasons that share a name, which would merge their counters.
TEST_CASE("every refusal reason has its own name that parses back") {
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        const auto reason = static_cast<refusal_reason>(index);
        names.insert(to_string(reason));
        CHECK(parse_refusal_reason(to_string(reason)) == reason);
    }
    CHECK(names.size() == refusal_reason_count);
    CHECK_FALSE(parse_refusal_reason("no-such-reason").has_value());
}

TEST_CASE("verdict names parse back") {
    for (const auto value : {verdict::not_run, verdict::may_have_run, verdict::ran}) {
        CHECK(parse_verdict(to_string(value)) == value);
    }
    CHECK_FALSE(parse_verdict("maybe").has_value());
}

}  // namespace masticpass
