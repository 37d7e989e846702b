#include "decision/membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

std::vector<entry_id> make_candidates(int count) {
    std::vector<entry_id> candidates;
    candidates.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        candidates.emplace_back("entry-" + std::to_string(number));
    }
    return candidates;
}

constexpr int key_count = 900;

}  // namespace

// Guards against two entry VMs that compute different owners from the same members.
TEST_CASE("the owner does not depend on the order of the candidates") {
    auto candidates = make_candidates(9);
    const auto owner = rendezvous_owner("config", candidates);
    const auto order = rendezvous_order("config", candidates);
    std::reverse(candidates.begin(), candidates.end());
    CHECK(rendezvous_owner("config", candidates) == owner);
    CHECK(rendezvous_order("config", candidates) == order);
    CHECK(order.size() == 9);
    CHECK(order.front() == owner);
    CHECK_FALSE(rendezvous_owner("config", {}).has_value());
}

// Guards against a fleet-wide reassignment, and the resulting load on the store, when one entry VM leaves.
TEST_CASE("removing a candidate reassigns only its own keys, to the next candidate in order") {
    const auto candidates = make_candidates(9);
    for (int number = 0; number < key_count; ++number) {
        const std::string key = "pools/" + std::to_string(number);
        const auto order = rendezvous_order(key, candidates);
        auto remaining = candidates;
        std::erase(remaining, candidates[4]);
        const auto expected = order[0] == candidates[4] ? order[1] : order[0];
        CHECK(rendezvous_owner(key, remaining) == expected);
    }
}

// Guards against a hash that assigns most of the work to a few entry VMs.
TEST_CASE("keys are distributed about evenly") {
    const auto candidates = make_candidates(9);
    std::map<std::string, int> owned;
    for (int number = 0; number < key_count; ++number) {
        ++owned[rendezvous_owner("pools/" + std::to_string(number), candidates)->value()];
    }
    CHECK(owned.size() == 9);
    for (const auto& [entry, count] : owned) {
        // 100 keys per candidate on average; 50 and 150 are 5 standard deviations away.
        CHECK(count > 50);
        CHECK(count < 150);
    }
}

}  // namespace masticpass
