#include "support/cost_part.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <malloc.h>

#include "decision/serving/identity_registry.h"
#include "decision/serving/service_scheduler.h"
#include "support/table.h"

namespace masticpass::measure {
namespace {

const absl::Time start_time = absl::UnixEpoch() + absl::Hours(1);
// Number of requests over which the time of the scheduler is averaged.
constexpr int cycles = 20'000;

class stopwatch {
public:
    double microseconds_per_operation(int operations) const {
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - started_;
        return elapsed.count() / operations;
    }

private:
    std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
};

std::size_t allocated_bytes() {
    return mallinfo2().uordblks;
}

std::unique_ptr<service_scheduler> make_scheduler(int instances) {
    scheduler_options options;
    options.maximum_queue_items = 1'000'000;
    options.maximum_queue_bytes = std::size_t{1} << 40U;
    auto scheduler = std::make_unique<service_scheduler>(options);
    std::vector<instance_capacity> capacities;
    capacities.reserve(static_cast<std::size_t>(instances));
    for (int instance = 0; instance < instances; ++instance) {
        capacities.push_back({.instance = vm_id(absl::StrCat("vm-", instance)), .slots = 8});
    }
    scheduler->update_instances(capacities, start_time);
    return scheduler;
}

request_description make_request(int number, boost::random::mt19937_64& random) {
    const auto random_below = [&](int limit) {
        return boost::random::uniform_int_distribution<>(0, limit - 1)(random);
    };
    return {.id = request_id(absl::StrCat("request-", number)),
            .kind = job_kind(absl::StrCat("kind-", random_below(20))),
            .deadline = start_time + absl::Minutes(10) + absl::Milliseconds(random_below(600'000)),
            .worth = 1.0 + random_below(100),
            .declared_run_time = absl::Milliseconds(10 + random_below(3'000)),
            .bytes = 100};
}

void measure_scheduler(std::uint64_t seed, table& rows, int queued, int instances) {
    boost::random::mt19937_64 random(seed);
    const std::size_t bytes_before = allocated_bytes();
    const auto scheduler = make_scheduler(instances);
    const std::size_t bytes_when_empty = allocated_bytes();
    for (int number = 0; number < queued; ++number) {
        static_cast<void>(scheduler->submit(make_request(number, random), start_time));
    }
    const std::size_t bytes_when_full = allocated_bytes();
    std::vector<dispatch> running;
    while (const auto next = scheduler->next_dispatch(start_time)) {
        running.push_back(*next);
    }
    std::vector<request_description> incoming;
    incoming.reserve(cycles);
    for (int number = 0; number < cycles; ++number) {
        incoming.push_back(make_request(queued + number, random));
    }
    absl::Time now = start_time;
    const stopwatch watch;
    for (int number = 0; number < cycles; ++number) {
        now += absl::Microseconds(100);
        static_cast<void>(scheduler->submit(incoming[static_cast<std::size_t>(number)], now));
        static_cast<void>(scheduler->expire(now));
        dispatch& ended = running[static_cast<std::size_t>(number) % running.size()];
        static_cast<void>(scheduler->attempt_ended(ended.request, {}, now));
        if (auto next = scheduler->next_dispatch(now)) {
            ended = *next;
        }
    }
    rows.add({absl::StrCat(queued), absl::StrCat(instances),
              absl::StrFormat("%.2f", watch.microseconds_per_operation(cycles)),
              absl::StrFormat("%.0f", static_cast<double>(bytes_when_full - bytes_when_empty) / queued),
              absl::StrFormat("%.0f", static_cast<double>(bytes_when_empty - bytes_before) / 1024.0)});
}

void measure_registry(table& rows, int identity_count) {
    const std::size_t bytes_before = allocated_bytes();
    identity_registry registry(incarnation_id("entry.1"), {.maximum_cache_bytes = 0});
    absl::Time now = start_time;
    std::uint64_t last_sequence = 0;
    const stopwatch watch;
    for (int issued = 0; issued < identity_count; ++issued) {
        now += absl::Minutes(14) / identity_count;
        const request_identity identity = registry.issue(1, now).value();
        static_cast<void>(registry.begin(identity, now));
        static_cast<void>(registry.finish(identity, {}, now));
        last_sequence = identity.sequence;
    }
    const double microseconds = watch.microseconds_per_operation(identity_count);
    const std::size_t used_bytes = allocated_bytes() - bytes_before;
    rows.add({absl::StrCat(identity_count), absl::StrCat(last_sequence),
              absl::StrFormat("%.3f", microseconds),
              absl::StrFormat("%.0f", static_cast<double>(used_bytes) / 1024.0),
              absl::StrFormat("%.3f", static_cast<double>(used_bytes) / identity_count)});
}

}  // namespace

void measure_cost(std::uint64_t seed) {
    table scheduling({"queued", "instances", "us per request", "bytes per queued", "KB empty"});
    for (const int queued : {1'000, 10'000, 100'000}) {
        measure_scheduler(seed, scheduling, queued, 10);
    }
    for (const int instances : {100, 1'000}) {
        measure_scheduler(seed, scheduling, 10'000, instances);
    }
    scheduling.print(absl::StrCat("Scheduler: submit, expire, end and dispatch of one request, seed ", seed));
    table identities({"live", "last sequence", "us per identity", "KB", "bytes per identity"});
    for (const int identity_count : {18'000, 180'000, 1'800'000}) {
        measure_registry(identities, identity_count);
    }
    identities.print("Registry: issue, begin and finish of one identity, without cached responses");
}

}  // namespace masticpass::measure
