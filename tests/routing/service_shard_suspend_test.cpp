#include <vector>

#include <absl/time/time.h>
#include <doctest/doctest.h>

#include "common/clock.h"
#include "routing/service_shard.h"

namespace masticpass {

namespace {

class manual_clock final : public clock {
public:
    absl::Time now() const override { return now_; }
    void advance(absl::Duration time) { now_ += time; }

private:
    absl::Time now_ = absl::UnixEpoch();
};

const std::vector<instance_capacity> one_server = {{vm_id("a"), 1, true}};

request_description make_request(const clock& time_source) {
    request_description request;
    request.id = request_id("r");
    request.kind = job_kind("k");
    request.deadline = time_source.now() + absl::Seconds(30);
    request.repeatable = true;
    return request;
}

}  // namespace

// Guards against retries that are dispatched at once to a server that takes no work, until the retry budget
// is used up.
TEST_CASE("a request that is queued again waits while its only server is suspended") {
    manual_clock time_source;
    service_shard shard({}, time_source);
    shard.update_instances(one_server);
    const auto first = shard.wait_for_slot(make_request(time_source));
    REQUIRE(first.has_value());

    shard.suspend(vm_id("a"));
    const attempt_result not_run =
        tl::unexpected(refusal{verdict::not_run, refusal_reason::no_server, "the server is leaving"});
    REQUIRE(shard.attempt_ended(request_id("r"), not_run) == attempt_disposition::requeued);
    shard.tick();
    REQUIRE(shard.load().running == 0);
    REQUIRE(shard.load().queued == 1);

    // The service table is updated only when its inputs change, so the suspension must end without an update.
    time_source.advance(service_shard::suspension_period);
    shard.tick();
    const auto second = shard.wait_again(request_id("r"));
    REQUIRE(second.has_value());
    REQUIRE(second->instance == vm_id("a"));
}

}  // namespace masticpass
