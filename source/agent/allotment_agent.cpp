#include "agent/allotment_agent.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr absl::Duration reconcile_interval = absl::Milliseconds(500);
constexpr absl::Duration leave_retry_interval = absl::Milliseconds(200);

// Returns the record with the incarnation `self` added if it is missing. Earlier incarnations of the same
// entry VM, and members that are proved terminated, are removed.
allotment_record desired_record(const allotment_record& current, const settings& configured,
                                const incarnation_id& self,
                                const std::function<bool(const allotment_member&)>& is_terminated) {
    allotment_record result = current;
    for (const allotment_member& member : current.members) {
        const bool replaced = member.entry == configured.entry.id && member.incarnation != self;
        if (replaced || is_terminated(member)) {
            result = without_member(result, member.incarnation);
        }
    }
    if (!result.contains(self)) {
        const auto extended = with_member(result, configured.entry.id, self);
        if (extended) {
            result = *extended;
            result.members.back().address = to_string(configured.listen.peer);
        }
    }
    // A write increments the epoch by one, regardless of how many members it adds or removes.
    if (result.epoch > current.epoch + 1) {
        result.epoch = current.epoch + 1;
        for (allotment_member& member : result.members) {
            member.joined_epoch = std::min(member.joined_epoch, result.epoch);
        }
    }
    return result;
}

}  // namespace

allotment_agent::allotment_agent(const settings& configured, const incarnation_id& self,
                                 configuration_store& store, record_cache& records, const fleet_state& fleet,
                                 metrics_registry& metrics,
                                 std::function<bool(const allotment_member&)> is_terminated)
    : configured_(configured),
      self_(self),
      store_(store),
      records_(records),
      fleet_(fleet),
      metrics_(metrics),
      is_terminated_(std::move(is_terminated)),
      thread_(reconcile_interval, [this] { reconcile(); }) {}

template <typename Propose>
bool allotment_agent::update_record(Propose propose) {
    const std::string key = allotment_key(configured_.entry.zone);
    const auto current = store_.read(key);
    if (!current && current.error().kind != store_error_kind::not_found) {
        metrics_.count({"masticpass_platform_errors_total", "call", "allotment"});
        return false;
    }
    const auto parsed = current ? parse_allotment_record(current->value) : allotment_record();
    if (!parsed) {
        return false;
    }
    // A stale read must not restore an old allotment.
    if (parsed->epoch < fleet_.own_allotment().epoch) {
        metrics_.count({"masticpass_platform_errors_total", "call", "allotment-old-data"});
        return false;
    }
    const allotment_record proposed = propose(*parsed);
    if (proposed == *parsed) {
        return true;
    }
    const std::string value = serialize(proposed);
    // After an unknown outcome, the next round reads the record and detects whether this incarnation is in
    // it.
    const auto written = store_.compare_and_swap(key, current ? current->revision : 0, value, lease_id::none);
    if (!written) {
        metrics_.count({"masticpass_platform_errors_total", "call", "allotment"});
        return false;
    }
    log_event(
        log_severity::info, "allotment_changed",
        {{"epoch", std::to_string(proposed.epoch)}, {"members", std::to_string(proposed.members.size())}});
    records_.offer({key, value, static_cast<std::uint64_t>(*written)});
    return true;
}

void allotment_agent::reconcile() {
    const absl::MutexLock lock(&mutex_);
    if (leaving_) {
        return;
    }
    const allotment_record cached = fleet_.own_allotment();
    if (desired_record(cached, configured_, self_, is_terminated_) == cached) {
        return;
    }
    update_record([this](const allotment_record& current) {
        return desired_record(current, configured_, self_, is_terminated_);
    });
}

bool allotment_agent::leave(absl::Duration timeout) {
    const absl::MutexLock lock(&mutex_);
    leaving_ = true;
    const absl::Time deadline = absl::Now() + timeout;
    while (!update_record([this](const allotment_record& current) {
        return current.contains(self_) ? without_member(current, self_) : current;
    })) {
        if (absl::Now() >= deadline) {
            return false;
        }
        absl::SleepFor(leave_retry_interval);
    }
    return true;
}

}  // namespace masticpass
