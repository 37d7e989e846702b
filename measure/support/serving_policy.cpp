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

absl::Time at(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

class simple_policy final : public serving_policy {
public:
    simple_policy(const serving_trace& trace, queue_order order)
        : trace_(trace), order_(order), free_(static_cast<std::size_t>(trace.servers), 8) {}

    void arrived(std::size_t job, double /*now*/) override {
        waiting_.insert(
            {order_ == queue_order::deadline ? trace_.jobs[job].deadline : trace_.jobs[job].arrival, job});
    }

    std::optional<policy_choice> next(double now) override {
        while (!waiting_.empty() && trace_.jobs[waiting_.begin()->second].deadline <= now) {
            waiting_.erase(waiting_.begin());
        }
        const auto most = std::max_element(free_.begin(), free_.end());
        if (waiting_.empty() || *most == 0) {
            return std::nullopt;
        }
        --*most;
        const std::size_t job = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        return policy_choice{.job = job, .server = static_cast<int>(most - free_.begin())};
    }

    void ended(std::size_t job, int server, const attempt_result& result, double now) override {
        ++free_[static_cast<std::size_t>(server)];
        if (!result.has_value() && may_retry(result.error().outcome, trace_.jobs[job].repeatable)) {
            arrived(job, now);
        }
    }

    double wake_up(double /*now*/) override { return never; }

private:
    const serving_trace& trace_;
    queue_order order_;
    std::vector<int> free_;
    std::set<std::pair<double, std::size_t>> waiting_;
};

class true_class_policy final : public serving_policy {
public:
    true_class_policy(const serving_trace& trace, int kept_slots)
        : trace_(trace),
          maximum_long_running_(trace.slots() - kept_slots),
          free_(static_cast<std::size_t>(trace.servers), 8) {}

    void arrived(std::size_t job, double /*now*/) override { waiting(job).push_back(job); }

    std::optional<policy_choice> next(double /*now*/) override {
        const auto most = std::max_element(free_.begin(), free_.end());
        const bool is_long = short_.empty();
        std::deque<std::size_t>& chosen = is_long ? long_ : short_;
        if (*most == 0 || chosen.empty() || (is_long && long_running_ >= maximum_long_running_)) {
            return std::nullopt;
        }
        --*most;
        long_running_ += is_long ? 1 : 0;
        const std::size_t job = chosen.front();
        chosen.pop_front();
        return policy_choice{.job = job,
                             .server = static_cast<int>(most - free_.begin()),
                             .size = is_long ? size_class::long_work : size_class::short_work};
    }

    void ended(std::size_t job, int server, const attempt_result& result, double now) override {
        ++free_[static_cast<std::size_t>(server)];
        long_running_ -= is_long(job) ? 1 : 0;
        if (!result.has_value() && may_retry(result.error().outcome, trace_.jobs[job].repeatable)) {
            arrived(job, now);
        }
    }

    double wake_up(double /*now*/) override { return never; }

private:
    bool is_long(std::size_t job) const {
        return trace_.jobs[job].run_time > absl::ToDoubleSeconds(estimator_options{}.maximum_short_run_time);
    }
    std::deque<std::size_t>& waiting(std::size_t job) { return is_long(job) ? long_ : short_; }

    const serving_trace& trace_;
    int maximum_long_running_;
    int long_running_ = 0;
    std::vector<int> free_;
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

    void arrived(std::size_t job, double now) override {
        const traced_job& traced = trace_.jobs[job];
        const auto submitted = scheduler_.submit({.id = request_id(absl::StrCat(job)),
                                                  .kind = job_kind(traced.kind),
                                                  .deadline = at(traced.deadline),
                                                  .worth = traced.worth,
                                                  .declared_run_time = absl::Seconds(traced.declared),
                                                  .bytes = 1000,
                                                  .repeatable = traced.repeatable},
                                                 at(now));
        static_cast<void>(submitted);
    }

    std::optional<policy_choice> next(double now) override {
        static_cast<void>(scheduler_.expire(at(now)));
        probe(now);
        const auto chosen = scheduler_.next_dispatch(at(now));
        if (!chosen.has_value()) {
            return std::nullopt;
        }
        return policy_choice{.job = number(chosen->request.value()),
                             .server = static_cast<int>(number(chosen->instance.value())),
                             .size = chosen->size};
    }

    void ended(std::size_t job, int server, const attempt_result& result, double now) override {
        const vm_id& name = names_[static_cast<std::size_t>(server)];
        const std::size_t ejected = health_.ejected();
        if (ejection_) {
            health_.attempt_ended(name, job_kind(trace_.jobs[job].kind), result.has_value(), at(now));
        }
        static_cast<void>(scheduler_.attempt_ended(request_id(absl::StrCat(job)), result, at(now)));
        if (health_.ejected() != ejected) {
            update_instances(now);
        }
    }

    double wake_up(double now) override {
        return scheduler_.queued_items() > 0 || health_.ejected() > 0 ? now + wake_up_step : never;
    }

private:
    static std::size_t number(const std::string& text) {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    void probe(double now) {
        while (const auto server = health_.next_probe(at(now))) {
            const int index = static_cast<int>(number(server->value()));
            const bool failing =
                std::any_of(trace_.faults.begin(), trace_.faults.end(), [&](const server_fault& fault) {
                    return fault.server == index && fault.from <= now && now < fault.to;
                });
            health_.probe_ended(*server, !failing, at(now));
            update_instances(now);
        }
    }

    void update_instances(double now) {
        std::vector<instance_capacity> instances;
        for (const vm_id& name : names_) {
            instances.push_back({.instance = name, .slots = 8, .accepts_work = health_.accepts_work(name)});
        }
        scheduler_.update_instances(instances, at(now));
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

std::unique_ptr<serving_policy> make_true_class_policy(const serving_trace& trace, int kept_slots) {
    return std::make_unique<true_class_policy>(trace, kept_slots);
}

std::unique_ptr<serving_policy> make_scheduler_policy(const serving_trace& trace,
                                                      scheduler_policy_options options) {
    return std::make_unique<scheduler_policy>(trace, options);
}

}  // namespace masticpass::measure
