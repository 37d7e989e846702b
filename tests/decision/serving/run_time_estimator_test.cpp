#include "decision/serving/run_time_estimator.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

namespace masticpass {
namespace {

const job_kind proof("proof");

bool is_near(absl::Duration value, absl::Duration expected) {
    return value > expected * 0.8 && value < expected * 1.25;
}

}  // namespace

// Guards against trust in declared times that are far off.
TEST_CASE("measured times replace declared ones") {
    run_time_estimator estimator;
    CHECK(estimator.estimate(proof, absl::Seconds(9)).size == size_class::long_work);
    for (int run = 0; run < 20; ++run) {
        estimator.observe(proof, absl::Seconds(9), absl::Milliseconds(300));
    }
    const run_time_estimate estimate = estimator.estimate(proof, absl::Seconds(9));
    CHECK(estimate.measured);
    CHECK(estimate.size == size_class::short_work);
    CHECK(is_near(estimate.expected, absl::Milliseconds(300)));
    CHECK(is_near(estimate.typical, absl::Milliseconds(300)));
}

TEST_CASE("a declared time of a new kind is corrected by the learned ratio") {
    run_time_estimator estimator;
    for (int run = 0; run < 50; ++run) {
        estimator.observe(proof, absl::Seconds(1), absl::Seconds(5));
    }
    CHECK(is_near(estimator.estimate(job_kind("new"), absl::Seconds(2)).expected, absl::Seconds(10)));
}

// Guards against a few overlong jobs that make a whole kind long, and against a kind that changes for good.
TEST_CASE("the class follows the high quantile") {
    run_time_estimator estimator;
    for (int run = 0; run < 200; ++run) {
        estimator.observe(proof, std::nullopt, run % 50 == 0 ? absl::Seconds(15) : absl::Milliseconds(300));
    }
    CHECK(estimator.estimate(proof, std::nullopt).size == size_class::short_work);
    for (int run = 0; run < 1'000; ++run) {
        estimator.observe(proof, std::nullopt, absl::Seconds(4));
    }
    CHECK(estimator.estimate(proof, std::nullopt).size == size_class::long_work);
}

// Guards against memory that grows with the names that callers send.
TEST_CASE("the number of kinds is bounded and the least recent goes first") {
    run_time_estimator estimator({.max_kinds = 10});
    for (int kind = 0; kind < 100; ++kind) {
        for (int run = 0; run < 3; ++run) {
            estimator.observe(job_kind(absl::StrCat(kind)), std::nullopt, absl::Seconds(2));
            estimator.observe(proof, std::nullopt, absl::Seconds(1));
        }
    }
    CHECK(estimator.kind_count() == 10);
    CHECK(estimator.estimate(proof, std::nullopt).measured);
    CHECK_FALSE(estimator.estimate(job_kind("0"), std::nullopt).measured);
}

// Guards against probes of servers that only run a job of usual length.
TEST_CASE("the suspicion threshold is above the learned run times") {
    run_time_estimator estimator;
    for (int run = 0; run < 100; ++run) {
        estimator.observe(proof, std::nullopt, absl::Seconds(run % 10 + 1));
    }
    CHECK(estimator.overdue_after(proof, std::nullopt) > absl::Seconds(20));
    CHECK(estimator.overdue_after(job_kind("new"), absl::Milliseconds(1)) >= absl::Seconds(1));
}

// Guards against learning a short time from an attempt that was given up early.
TEST_CASE("an attempt that was given up counts only beyond the expected time") {
    run_time_estimator estimator;
    for (int run = 0; run < 10; ++run) {
        estimator.observe(proof, std::nullopt, absl::Seconds(2));
        estimator.observe_lower_bound(proof, std::nullopt, absl::Milliseconds(10));
    }
    CHECK(is_near(estimator.estimate(proof, std::nullopt).expected, absl::Seconds(2)));
}

}  // namespace masticpass
