#include "routing/service_shard.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against a lost wake-up and against more attempts at once than there are slots.
TEST_CASE("requests of several threads all run, and never more at once than there are slots") {
    constexpr int threads = 8;
    constexpr int requests = 200;
    constexpr int slots = 3;
    const monotonic_clock time;
    service_shard shard({}, time);
    const std::vector<instance_capacity> instances = {{vm_id("v1"), slots, true}};
    shard.update_instances(instances);
    std::atomic<int> running = 0;
    std::atomic<int> maximum_running = 0;
    std::atomic<int> completed = 0;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int worker = 0; worker < threads; ++worker) {
            workers.emplace_back([&, worker] {
                for (int number = 0; number < requests; ++number) {
                    request_description request;
                    request.id = request_id(std::to_string(worker) + "." + std::to_string(number));
                    request.kind = job_kind("k");
                    request.deadline = time.now() + absl::Minutes(2);
                    if (!shard.wait_for_slot(request)) {
                        continue;
                    }
                    const int now_running = ++running;
                    int previous_maximum = maximum_running;
                    while (now_running > previous_maximum &&
                           !maximum_running.compare_exchange_weak(previous_maximum, now_running)) {
                    }
                    --running;
                    completed += shard.attempt_ended(request.id, {}).has_value() ? 1 : 0;
                }
            });
        }
    }
    CHECK(completed == threads * requests);
    CHECK(maximum_running <= slots);
    CHECK(shard.load().queued == 0);
    CHECK(shard.load().running == 0);
}

}  // namespace masticpass
