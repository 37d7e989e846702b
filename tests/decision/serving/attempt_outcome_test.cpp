#include "decision/serving/attempt_outcome.h"

#include <doctest/doctest.h>

#include "decision/serving/retry_budget.h"

namespace masticpass {

// Guards against the verdict "not run" for an attempt that the server may have run.
TEST_CASE("only a refusal by the server or an unsent request gives the verdict not_run") {
    for (const auto event :
         {attempt_event::timeout, attempt_event::connection_lost, attempt_event::connection_silent,
          attempt_event::truncated_response, attempt_event::wrong_attempt_id, attempt_event::cancelled}) {
        CHECK(verdict_of(event, true) == verdict::may_have_run);
        CHECK(verdict_of(event, false) == verdict::not_run);
    }
    CHECK(verdict_of(attempt_event::server_refused, true) == verdict::not_run);
    CHECK(verdict_of(attempt_event::connect_failed, false) == verdict::not_run);
    CHECK(verdict_of(attempt_event::complete_response, true) == verdict::ran);
    CHECK(result_of(attempt_event::complete_response, true, "").has_value());
    CHECK(result_of(attempt_event::truncated_response, true, "").error().reason ==
          refusal_reason::answer_truncated);
}

// Guards against a second run of a request that is not repeatable.
TEST_CASE("only a request that did not run or is repeatable is retried") {
    CHECK(may_retry(verdict::not_run, false));
    CHECK(may_retry(verdict::may_have_run, true));
    CHECK_FALSE(may_retry(verdict::may_have_run, false));
    CHECK_FALSE(may_retry(verdict::ran, true));
}

// Guards against retries that multiply the load during a fault.
TEST_CASE("retries are bounded by a share of first attempts and a burst") {
    retry_budget budget;
    int retries = 0;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        budget.record_first_attempt();
        retries += budget.take_retry() ? 1 : 0;
    }
    CHECK(retries == 109);
    for (int attempt = 0; attempt < 10'000; ++attempt) {
        budget.record_first_attempt();
    }
    CHECK(budget.available() == 10);
}

}  // namespace masticpass
