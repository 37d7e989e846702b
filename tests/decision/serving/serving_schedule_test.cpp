#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include "decision/serving/identity_registry.h"
#include "decision/serving/server_health.h"
#include "decision/serving/service_scheduler.h"

namespace masticpass {
namespace {

// Faults injected into the callers of the decisions; each must violate an invariant in some schedule.
enum class injected_fault {
    none,
    ignores_identity,
    hides_sent_bytes,
    marks_all_repeatable,
    ignores_ejection,
    ignores_slots,
    drops_expired,
};

constexpr int job_kind_count = 5;

struct caller_request {
    request_identity identity;
    bool repeatable = false;
    int run_count = 0;
    int end_count = 0;
    bool submitted = false;
};

struct server {
    vm_id id;
    int slots = 4;
    int running = 0;
    int boot = 1;
    bool failing = false;
};

// Simulates one entry VM with failing, leaving and rebooting servers, and callers that cancel and repeat
// their requests. Each step performs a random action, advances the time and checks the invariants.
class serving_simulation {
public:
    serving_simulation(std::uint64_t seed, injected_fault fault)
        : random_(seed), fault_(fault), scheduler_(options()), registry_(incarnation_id("entry.1")) {
        std::vector<vm_id> server_ids;
        for (int index = 0; index < 3 + random_below(6); ++index) {
            servers_.push_back({.id = vm_id(absl::StrCat(index)), .slots = 1 + random_below(4)});
            server_ids.push_back(servers_.back().id);
        }
        health_.update_servers(server_ids);
        for (const server& each : servers_) {
            health_.leaving().observe_boot(each.id, boot_id("1"));
        }
        update_instances();
    }

    // Returns the first violated invariant; empty if there is none.
    std::string run(int steps) {
        for (int step = 0; step < steps && violation_.empty(); ++step) {
            perform_random_action();
            advance_time_and_dispatch();
        }
        for (server& each : servers_) {
            each.failing = false;
            each.slots = 4;
            reboot(each);
        }
        update_instances();
        // Once nothing new arrives, all accepted work must end, long work included.
        for (int step = 0; step < 2'000 && has_work(); ++step) {
            finish_one();
            advance_time_and_dispatch();
        }
        for (const caller_request& each : requests_) {
            check_invariant(each.end_count == (each.submitted ? 1 : 0),
                            "a submitted request did not end exactly once");
        }
        return violation_;
    }

private:
    static scheduler_options options() {
        scheduler_options result;
        result.maximum_queue_items = 12;
        result.maximum_queue_bytes = 3'000;
        return result;
    }

    bool has_work() const {
        return scheduler_.running() > 0 || scheduler_.next_expiry() != absl::InfiniteFuture();
    }

    int random_below(int below) { return boost::random::uniform_int_distribution<>(0, below - 1)(random_); }

    void check_invariant(bool holds, const std::string& text) {
        if (!holds && violation_.empty()) {
            violation_ = text;
        }
    }

    void perform_random_action() {
        const int choice = random_below(100);
        server& random_server =
            servers_[static_cast<std::size_t>(random_below(static_cast<int>(servers_.size())))];
        if (choice < 45) {
            submit();
        } else if (choice < 85) {
            finish_one();
        } else if (choice < 90) {
            cancel();
        } else if (choice < 92) {
            random_server.failing = !random_server.failing;
        } else if (choice < 94) {
            health_.leaving().mark_leaving(random_server.id, boot_id());
        } else if (choice < 96) {
            reboot(random_server);
        } else if (choice < 98) {
            random_server.slots = random_below(5);
        } else if (const auto probed = health_.next_probe(now_)) {
            health_.probe_ended(*probed, !find_server(*probed).failing, now_);
        }
        update_instances();
    }

    void advance_time_and_dispatch() {
        now_ += absl::Milliseconds(random_below(60));
        auto ended = scheduler_.expire(now_);
        if (fault_ == injected_fault::drops_expired) {
            ended.clear();
        }
        for (const refused_request& each : ended) {
            record_end(each.request, each.cause.outcome);
        }
        while (const auto next = scheduler_.next_dispatch(now_)) {
            server& chosen = find_server(next->instance);
            check_invariant(chosen.running < chosen.slots, "more requests than slots");
            check_invariant(health_.accepts_work(chosen.id), "new work on an ejected or leaving server");
            ++chosen.running;
            running_.emplace_back(next->request, next->instance);
        }
        check_invariant(scheduler_.queued_items() <= 12 && scheduler_.queued_bytes() <= 3'000,
                        "the queue is too large");
        check_invariant(health_.ejected() <= servers_.size() / 3, "too many servers are ejected");
        check_invariant(scheduler_.running() == running_.size(),
                        "the scheduler miscounts the running attempts");
    }

    void submit() {
        // Some callers repeat an earlier request with the same identity.
        const bool repeats_earlier = !requests_.empty() && random_below(4) == 0;
        const auto earlier =
            static_cast<std::size_t>(random_below(std::max(1, static_cast<int>(requests_.size()))));
        const caller_request source_request =
            repeats_earlier ? requests_[earlier]
                            : caller_request{.identity = registry_.issue(1, now_).value(),
                                             .repeatable = random_below(2) == 0};
        requests_.push_back({.identity = source_request.identity, .repeatable = source_request.repeatable});
        if (!source_request.repeatable && fault_ != injected_fault::ignores_identity &&
            registry_.begin(source_request.identity, now_).decision != identity_begin_decision::may_run) {
            return;
        }
        const int kind = random_below(job_kind_count);
        const request_id id(absl::StrCat(requests_.size() - 1));
        const auto submitted = scheduler_.submit(
            {.id = id,
             .kind = job_kind(absl::StrCat(kind)),
             .deadline = now_ + (random_below(3) == 0 ? absl::Hours(10)
                                                      : absl::Milliseconds(100 + random_below(3'000))),
             .worth = 1.0 + random_below(10),
             .declared_run_time = absl::Milliseconds(random_below(2) == 0 ? 50 : 2'000),
             .bytes = static_cast<std::size_t>(random_below(600)),
             .urgent = random_below(10) == 0,
             .repeatable = source_request.repeatable || fault_ == injected_fault::marks_all_repeatable},
            now_);
        requests_.back().submitted = true;
        if (!submitted.has_value()) {
            record_end(id, submitted.error().outcome);
        }
    }

    void cancel() {
        if (requests_.empty()) {
            return;
        }
        const request_id id(absl::StrCat(random_below(static_cast<int>(requests_.size()))));
        const std::size_t before = scheduler_.queued_items();
        const cancel_result result = scheduler_.cancel(id, now_);
        if (result == cancel_result::removed || result == cancel_result::removed_after_attempt) {
            check_invariant(scheduler_.queued_items() + 1 == before,
                            "a cancelled request stays in the queue");
            record_end(id, result == cancel_result::removed ? verdict::not_run : verdict::may_have_run);
        }
    }

    void finish_one() {
        if (running_.empty()) {
            return;
        }
        const auto position = static_cast<std::size_t>(random_below(static_cast<int>(running_.size())));
        const auto [id, instance] = running_[position];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(position));
        server& assigned_server = find_server(instance);
        --assigned_server.running;
        caller_request& request = requests_[index_of(id)];
        attempt_event event = attempt_event::complete_response;
        bool sent = true;
        if (assigned_server.failing || random_below(10) == 0) {
            event = static_cast<attempt_event>(1 + random_below(8));
            sent = event != attempt_event::connect_failed && random_below(4) > 0;
        }
        const bool may_run = sent && event != attempt_event::server_refused;
        request.run_count +=
            may_run && (event == attempt_event::complete_response || random_below(2) == 0) ? 1 : 0;
        check_invariant(request.repeatable || total_runs(request.identity) <= 1, "a request ran twice");
        const bool reported_sent =
            sent && (fault_ != injected_fault::hides_sent_bytes || event == attempt_event::complete_response);
        const attempt_result result = result_of(event, reported_sent, "fault");
        health_.attempt_ended(instance, job_kind(absl::StrCat(random_below(job_kind_count))),
                              result.has_value(), now_);
        const auto next = scheduler_.attempt_ended(id, result, now_);
        if (!next.has_value()) {
            record_end(id, next.error().outcome);
        } else if (*next == attempt_disposition::completed) {
            record_end(id, verdict::ran);
        }
        update_instances();
    }

    void record_end(const request_id& id, verdict outcome) {
        caller_request& request = requests_[index_of(id)];
        ++request.end_count;
        check_invariant(outcome != verdict::not_run || request.run_count == 0,
                        "a request that ran was refused as not run");
        check_invariant(outcome != verdict::ran || request.run_count > 0,
                        "a request that did not run was reported as ran");
        if (request.repeatable || fault_ == injected_fault::ignores_identity) {
            return;
        }
        const auto recorded =
            outcome == verdict::not_run
                ? registry_.revert(request.identity, now_)
                : registry_.finish(request.identity, {.outcome = outcome, .content_type = "", .body = ""},
                                   now_);
        check_invariant(recorded.has_value(), "the registry does not know a request that ended");
    }

    int total_runs(const request_identity& identity) const {
        int run_count = 0;
        for (const caller_request& each : requests_) {
            run_count += each.identity == identity ? each.run_count : 0;
        }
        return run_count;
    }

    void reboot(server& each) { health_.leaving().observe_boot(each.id, boot_id(absl::StrCat(++each.boot))); }

    void update_instances() {
        std::vector<instance_capacity> instances;
        for (const server& each : servers_) {
            instances.push_back({.instance = each.id,
                                 .slots = fault_ == injected_fault::ignores_slots ? 8 : each.slots,
                                 .accepts_work = fault_ == injected_fault::ignores_ejection ||
                                                 health_.accepts_work(each.id)});
        }
        scheduler_.update_instances(instances, now_);
    }

    server& find_server(const vm_id& id) { return servers_[static_cast<std::size_t>(std::stoi(id.value()))]; }
    static std::size_t index_of(const request_id& id) {
        return static_cast<std::size_t>(std::stoi(id.value()));
    }

    boost::random::mt19937_64 random_;
    injected_fault fault_;
    absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
    service_scheduler scheduler_;
    identity_registry registry_;
    server_health health_;
    std::vector<server> servers_;
    std::vector<caller_request> requests_;
    std::vector<std::pair<request_id, vm_id>> running_;
    std::string violation_;
};

constexpr std::uint64_t schedule_count = 10'000;
constexpr int steps_per_schedule = 200;

bool is_detected(injected_fault fault) {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        if (!serving_simulation(seed, fault).run(steps_per_schedule).empty()) {
            return true;
        }
    }
    return false;
}

}  // namespace

// Guards against double runs, false "not run" verdicts, lost requests, and violations of the slot, queue and
// ejection limits.
TEST_CASE("random serving schedules keep the invariants") {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        const std::string violation = serving_simulation(seed, injected_fault::none).run(steps_per_schedule);
        CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    }
}

// Guards against a schedule test that would not detect faults.
TEST_CASE("random serving schedules detect injected faults") {
    for (const injected_fault fault : {injected_fault::ignores_identity, injected_fault::hides_sent_bytes,
                                       injected_fault::marks_all_repeatable, injected_fault::ignores_ejection,
                                       injected_fault::ignores_slots, injected_fault::drops_expired}) {
        CHECK_MESSAGE(is_detected(fault), "injected fault " << static_cast<int>(fault));
    }
}

}  // namespace masticpass
