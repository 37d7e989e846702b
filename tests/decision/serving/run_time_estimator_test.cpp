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

// Guards against the use of declared times that differ widely from the measured ones.
TEST_CASE("measured run times replace declared ones") {
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

TEST_CASE("the declared run time of a new job kind is corrected by the learned ratio") {
    run_time_estimator estimator;
    for (int run = 0; run < 50; ++run) {
        estimator.observe(proof, absl::Seconds(1), absl::Seconds(5));
    }
    CHECK(is_near(estimator.estimate(job_kind("new"), absl::Seconds(2)).expected, absl::Seconds(10)));
}

// Guards against a few overlong jobs that make a whole job kind long, and against a kind that keeps its old
// size class after its run times have changed permanently.
TEST_CASE("the size class follows the high quantile of the run time") {
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

// Guards against memory use that grows with the number of job kinds that callers send.
TEST_CASE("the number of job kinds is bounded and the least recently observed one is evicted") {
    run_time_estimator estimator({.maximum_kinds = 10});
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

// Guards against state queries for attempts whose run time is usual.
TEST_CASE("the overdue threshold is above the learned run times") {
    run_time_estimator estimator;
    for (int run = 0; run < 100; ++run) {
        estimator.observe(proof, std::nullopt, absl::Seconds(run % 10 + 1));
    }
    CHECK(estimator.overdue_after(proof, std::nullopt) > absl::Seconds(20));
    CHECK(estimator.overdue_after(job_kind("new"), absl::Milliseconds(1)) >= absl::Seconds(1));
}

// Guards against learning too short a run time from an attempt that was given up early.
TEST_CASE("an attempt that was given up counts only if it lasted longer than expected") {
    run_time_estimator estimator;
    for (int run = 0; run < 10; ++run) {
        estimator.observe(proof, std::nullopt, absl::Seconds(2));
        estimator.observe_lower_bound(proof, std::nullopt, absl::Milliseconds(10));
    }
    CHECK(is_near(estimator.estimate(proof, std::nullopt).expected, absl::Seconds(2)));
}

}  // namespace masticpass
