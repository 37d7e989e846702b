#include "routing/service_shard.h"

#include <memory>
#include <utility>

#include "common/invariant.h"

namespace masticpass {

namespace {

constexpr absl::Duration retry_after_faulty_kind = absl::Seconds(5);

}  // namespace

service_shard::service_shard(const scheduler_options& options, const clock& time_source)
    : clock_(time_source), scheduler_(options) {}

tl::expected<dispatch, refusal> service_shard::wait_for_slot(const request_description& request) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    if (health_.is_kind_faulty(request.kind, now)) {
        return tl::unexpected(refusal{verdict::not_run, refusal_reason::job_fails_everywhere,
                                      "this kind of job fails on every server", retry_after_faulty_kind});
    }
    auto submitted = scheduler_.submit(request, now);
    if (!submitted) {
        return tl::unexpected(std::move(submitted.error()));
    }
    waiters_.emplace(request.id, std::make_unique<waiter>());
    waiting_ = waiters_.size();
    advance(now);
    return wait(request.id);
}

tl::expected<attempt_disposition, refusal> service_shard::attempt_ended(const request_id& id,
                                                                        const attempt_result& result) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    auto next = scheduler_.attempt_ended(id, result, now);
    if (next && *next == attempt_disposition::requeued) {
        waiters_.emplace(id, std::make_unique<waiter>());
        waiting_ = waiters_.size();
    }
    advance(now);
    return next;
}

tl::expected<dispatch, refusal> service_shard::wait_again(const request_id& id) {
    const absl::MutexLock lock(&mutex_);
    return wait(id);
}

cancel_result service_shard::cancel(const request_id& id) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    const cancel_result result = scheduler_.cancel(id, now);
    if (result == cancel_result::removed || result == cancel_result::removed_after_attempt) {
        const verdict outcome = result == cancel_result::removed ? verdict::not_run : verdict::may_have_run;
        notify(id, tl::unexpected(
                       refusal{outcome, refusal_reason::cancelled, "the caller cancelled the request"}));
    }
    advance(now);
    return result;
}

void service_shard::update_instances(absl::Span<const instance_capacity> instances) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    instances_.assign(instances.begin(), instances.end());
    std::vector<vm_id> servers;
    for (const instance_capacity& instance : instances) {
        servers.push_back(instance.instance);
    }
    health_.update_servers(servers);
    apply_instances(now);
}

void service_shard::suspend(const vm_id& server) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    suspended_until_[server] = now + suspension_period;
    apply_instances(now);
}

void service_shard::apply_instances(absl::Time now) {
    std::vector<instance_capacity> usable = instances_;
    for (instance_capacity& instance : usable) {
        instance.accepts_work = instance.accepts_work && !health_.is_ejected(instance.instance) &&
                                !suspended_until_.contains(instance.instance);
    }
    scheduler_.update_instances(usable, now);
    advance(now);
}

void service_shard::record_outcome(const vm_id& server, const job_kind& kind, bool succeeded) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    const bool was_ejected = health_.is_ejected(server);
    health_.attempt_ended(server, kind, succeeded, now);
    if (health_.is_ejected(server) != was_ejected) {
        apply_instances(now);
    }
}

std::optional<vm_id> service_shard::next_probe() {
    const absl::MutexLock lock(&mutex_);
    return health_.next_probe(clock_.now());
}

void service_shard::probe_ended(const vm_id& server, bool succeeded) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    health_.probe_ended(server, succeeded, now);
    apply_instances(now);
}

std::vector<vm_id> service_shard::ejected_servers() const {
    const absl::MutexLock lock(&mutex_);
    return health_.ejected_servers();
}

void service_shard::refuse_queued(refusal_reason reason, const std::string& message) {
    const absl::MutexLock lock(&mutex_);
    for (refused_request& refused : scheduler_.refuse_queued(reason, message)) {
        notify(refused.request, tl::unexpected(std::move(refused.cause)));
    }
}

void service_shard::tick() {
    if (waiting_ == 0) {
        return;
    }
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    if (suspended_until_.empty()) {
        advance(now);
        return;
    }
    absl::erase_if(suspended_until_, [now](const auto& entry) { return entry.second <= now; });
    apply_instances(now);
}

shard_load service_shard::load() const {
    const absl::MutexLock lock(&mutex_);
    return {scheduler_.free_slots(), scheduler_.usable_slots(), static_cast<int>(scheduler_.queued_items()),
            static_cast<int>(scheduler_.running())};
}

tl::expected<dispatch, refusal> service_shard::wait(const request_id& id) {
    waiter& own = *waiters_.at(id);
    while (!own.outcome) {
        own.changed.Wait(&mutex_);
    }
    tl::expected<dispatch, refusal> outcome = std::move(*own.outcome);
    waiters_.erase(id);
    waiting_ = waiters_.size();
    return outcome;
}

void service_shard::advance(absl::Time now) {
    for (refused_request& refused : scheduler_.expire(now)) {
        notify(refused.request, tl::unexpected(std::move(refused.cause)));
    }
    while (auto work = scheduler_.next_dispatch(now)) {
        const request_id id = work->request;
        notify(id, std::move(*work));
    }
}

void service_shard::notify(const request_id& id, tl::expected<dispatch, refusal> outcome) {
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) {
        return;
    }
    check_invariant(!found->second->outcome, "a waiting request is dispatched or refused once");
    found->second->outcome = std::move(outcome);
    found->second->changed.Signal();
}

}  // namespace masticpass
