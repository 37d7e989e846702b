#include "support/serving_policy.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <limits>
#include <set>
#include <string>

#include <absl/strings/str_cat.h>

#include "decision/serving/server_health.h"
#include "decision/serving/service_scheduler.h"

namespace masticpass::measure {
namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double wake_up_step = 0.25;

absl::Time to_time(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

class simple_policy final : public serving_policy {
public:
    simple_policy(const serving_trace& trace, queue_order order)
        : trace_(trace), order_(order), free_slots_(static_cast<std::size_t>(trace.servers), 8) {}

    void handle_arrival(std::size_t job, double /*now*/) override {
        waiting_.insert(
            {order_ == queue_order::deadline ? trace_.jobs[job].deadline : trace_.jobs[job].arrival, job});
    }

    std::optional<policy_choice> choose_next(double now) override {
        while (!waiting_.empty() && trace_.jobs[waiting_.begin()->second].deadline <= now) {
            waiting_.erase(waiting_.begin());
        }
        const auto most_free = std::max_element(free_slots_.begin(), free_slots_.end());
        if (waiting_.empty() || *most_free == 0) {
            return std::nullopt;
        }
        --*most_free;
        const std::size_t job = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        return policy_choice{.job = job, .server = static_cast<int>(most_free - free_slots_.begin())};
    }

    void handle_end(std::size_t job, int server, const attempt_result& result, double now) override {
        ++free_slots_[static_cast<std::size_t>(server)];
        if (!result.has_value() && may_retry(result.error().outcome, trace_.jobs[job].repeatable)) {
            handle_arrival(job, now);
        }
    }

    double next_wake_up(double /*now*/) override { return never; }

private:
    const serving_trace& trace_;
    queue_order order_;
    std::vector<int> free_slots_;
    std::set<std::pair<double, std::size_t>> waiting_;
};

class true_class_policy final : public serving_policy {
public:
    true_class_policy(const serving_trace& trace, int reserved_slots)
        : trace_(trace),
          maximum_long_running_(trace.slots() - reserved_slots),
          free_slots_(static_cast<std::size_t>(trace.servers), 8) {}

    void handle_arrival(std::size_t job, double /*now*/) override { waiting(job).push_back(job); }

    std::optional<policy_choice> choose_next(double /*now*/) override {
        const auto most_free = std::max_element(free_slots_.begin(), free_slots_.end());
        const bool is_long = short_.empty();
        std::deque<std::size_t>& chosen = is_long ? long_ : short_;
        if (*most_free == 0 || chosen.empty() || (is_long && long_running_ >= maximum_long_running_)) {
            return std::nullopt;
        }
        --*most_free;
        long_running_ += is_long ? 1 : 0;
        const std::size_t job = chosen.front();
        chosen.pop_front();
        return policy_choice{.job = job,
                             .server = static_cast<int>(most_free - free_slots_.begin()),
                             .size = is_long ? size_class::long_work : size_class::short_work};
    }

    void handle_end(std::size_t job, int server, const attempt_result& result, double now) override {
        ++free_slots_[static_cast<std::size_t>(server)];
        long_running_ -= is_long(job) ? 1 : 0;
        if (!result.has_value() && may_retry(result.error().outcome, trace_.jobs[job].repeatable)) {
            handle_arrival(job, now);
        }
    }

    double next_wake_up(double /*now*/) override { return never; }

private:
    bool is_long(std::size_t job) const {
        return trace_.jobs[job].run_time > absl::ToDoubleSeconds(estimator_options{}.maximum_short_run_time);
    }
    std::deque<std::size_t>& waiting(std::size_t job) { return is_long(job) ? long_ : short_; }

    const serving_trace& trace_;
    int maximum_long_running_;
    int long_running_ = 0;
    std::vector<int> free_slots_;
    std::deque<std::size_t> short_;
    std::deque<std::size_t> long_;
};

class scheduler_policy final : public serving_policy {
public:
    scheduler_policy(const serving_trace& trace, const scheduler_policy_options& options)
        : trace_(trace), ejection_(options.ejection), scheduler_(options.scheduler) {
        for (int server = 0; server < trace.servers; ++server) {
            names_.emplace_back(absl::StrCat(server));
        }
        health_.update_servers(names_);
        update_instances(0.0);
    }

    void handle_arrival(std::size_t job, double now) override {
        const traced_job& traced = trace_.jobs[job];
        const auto submitted =
            scheduler_.submit({.id = request_id(absl::StrCat(job)),
                               .kind = job_kind(traced.kind),
                               .deadline = to_time(traced.deadline),
                               .worth = traced.worth,
                               .declared_run_time = absl::Seconds(traced.declared_run_time),
                               .bytes = 1000,
                               .repeatable = traced.repeatable},
                              to_time(now));
        static_cast<void>(submitted);
    }

    std::optional<policy_choice> choose_next(double now) override {
        static_cast<void>(scheduler_.expire(to_time(now)));
        run_due_probes(now);
        const auto chosen = scheduler_.next_dispatch(to_time(now));
        if (!chosen.has_value()) {
            return std::nullopt;
        }
        return policy_choice{.job = parse_number(chosen->request.value()),
                             .server = static_cast<int>(parse_number(chosen->instance.value())),
                             .size = chosen->size};
    }

    void handle_end(std::size_t job, int server, const attempt_result& result, double now) override {
        const vm_id& name = names_[static_cast<std::size_t>(server)];
        const std::size_t ejected_before = health_.ejected();
        if (ejection_) {
            health_.attempt_ended(name, job_kind(trace_.jobs[job].kind), result.has_value(), to_time(now));
        }
        static_cast<void>(scheduler_.attempt_ended(request_id(absl::StrCat(job)), result, to_time(now)));
        if (health_.ejected() != ejected_before) {
            update_instances(now);
        }
    }

    double next_wake_up(double now) override {
        return scheduler_.queued_items() > 0 || health_.ejected() > 0 ? now + wake_up_step : never;
    }

private:
    static std::size_t parse_number(const std::string& text) {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    void run_due_probes(double now) {
        while (const auto server = health_.next_probe(to_time(now))) {
            const int index = static_cast<int>(parse_number(server->value()));
            const bool is_failing =
                std::any_of(trace_.faults.begin(), trace_.faults.end(), [&](const server_fault& fault) {
                    return fault.server == index && fault.from <= now && now < fault.to;
                });
            health_.probe_ended(*server, !is_failing, to_time(now));
            update_instances(now);
        }
    }

    void update_instances(double now) {
        std::vector<instance_capacity> instances;
        for (const vm_id& name : names_) {
            instances.push_back({.instance = name, .slots = 8, .accepts_work = health_.accepts_work(name)});
        }
        scheduler_.update_instances(instances, to_time(now));
    }

    const serving_trace& trace_;
    bool ejection_;
    service_scheduler scheduler_;
    server_health health_;
    std::vector<vm_id> names_;
};

}  // namespace

std::unique_ptr<serving_policy> make_simple_policy(const serving_trace& trace, queue_order order) {
    return std::make_unique<simple_policy>(trace, order);
}

std::unique_ptr<serving_policy> make_true_class_policy(const serving_trace& trace, int reserved_slots) {
    return std::make_unique<true_class_policy>(trace, reserved_slots);
}

std::unique_ptr<serving_policy> make_scheduler_policy(const serving_trace& trace,
                                                      scheduler_policy_options options) {
    return std::make_unique<scheduler_policy>(trace, options);
}

}  // namespace masticpass::measure
