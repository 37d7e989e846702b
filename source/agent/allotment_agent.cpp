#include "agent/allotment_agent.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr absl::Duration maintain_interval = absl::Milliseconds(500);
constexpr absl::Duration leave_retry_interval = absl::Milliseconds(200);

// The record without members that are proved gone and with this incarnation.
allotment_record desired_record(const allotment_record& present, const settings& own,
                                const incarnation_id& self,
                                const std::function<bool(const allotment_member&)>& is_gone) {
    allotment_record result = present;
    for (const allotment_member& member : present.members) {
        const bool replaced = member.entry == own.entry.id && member.incarnation != self;
        if (replaced || is_gone(member)) {
            result = without_member(result, member.incarnation);
        }
    }
    if (!result.contains(self)) {
        const auto joined = with_member(result, own.entry.id, self);
        if (joined) {
            result = *joined;
            result.members.back().address = to_string(own.listen.peer);
        }
    }
    // Several changes in one write are one epoch.
    if (result.epoch > present.epoch + 1) {
        result.epoch = present.epoch + 1;
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
                                 std::function<bool(const allotment_member&)> is_gone)
    : configured_(configured),
      self_(self),
      store_(store),
      records_(records),
      fleet_(fleet),
      metrics_(metrics),
      is_gone_(std::move(is_gone)),
      thread_(maintain_interval, [this] { maintain(); }) {}

template <typename Propose>
bool allotment_agent::change(Propose propose) {
    const std::string key = allotment_key(configured_.entry.zone);
    const auto present = store_.read(key);
    if (!present && present.error().kind != store_error_kind::not_found) {
        metrics_.count({"masticpass_platform_errors_total", "call", "allotment"});
        return false;
    }
    const auto parsed = present ? parse_allotment_record(present->value) : allotment_record();
    if (!parsed) {
        return false;
    }
    // An old answer of the store must not bring back an old allotment.
    if (parsed->epoch < fleet_.own_allotment().epoch) {
        metrics_.count({"masticpass_platform_errors_total", "call", "allotment-old-data"});
        return false;
    }
    const allotment_record proposed = propose(*parsed);
    if (proposed == *parsed) {
        return true;
    }
    const std::string value = serialize(proposed);
    // After an unknown outcome the next round reads the record and finds whether this incarnation is in it.
    const auto written = store_.compare_and_swap(key, present ? present->revision : 0, value, lease_id::none);
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

void allotment_agent::maintain() {
    const absl::MutexLock lock(&mutex_);
    if (leaving_) {
        return;
    }
    const allotment_record held = fleet_.own_allotment();
    if (desired_record(held, configured_, self_, is_gone_) == held) {
        return;
    }
    change([this](const allotment_record& present) {
        return desired_record(present, configured_, self_, is_gone_);
    });
}

bool allotment_agent::leave(absl::Duration timeout) {
    const absl::MutexLock lock(&mutex_);
    leaving_ = true;
    const absl::Time end = absl::Now() + timeout;
    while (!change([this](const allotment_record& present) {
        return present.contains(self_) ? without_member(present, self_) : present;
    })) {
        if (absl::Now() >= end) {
            return false;
        }
        absl::SleepFor(leave_retry_interval);
    }
    return true;
}

}  // namespace masticpass
