#include "decision/maintenance/wave_progress.h"

#include <algorithm>

namespace masticpass {

namespace {

bool is_in_progress_for(const pool_vm& vm, const wave_name& wave) {
    return vm.wave == wave && (vm.phase == vm_phase::reserved || vm.phase == vm_phase::acting);
}

// True if VMs still have to be maintained, but none is in progress and the budget permits none.
bool is_blocked(const pool_record& record, const wave_progress& progress, const pool_limits& limits,
                const unavailable_vms& observed) {
    const unavailable_vm_counts counts(record, observed, limits.minimum_vms);
    bool has_pending = false;
    for (const auto& [id, vm] : record.vms) {
        if (vm.phase == vm_phase::reserved || vm.phase == vm_phase::moving_out ||
            (vm.phase == vm_phase::acting && !vm.joining)) {
            return counts.exceeded_limit(limits.budget).has_value();
        }
        if (vm.phase == vm_phase::serving && is_pending(vm, progress.started_at)) {
            has_pending = true;
            if (!observed.contains(id) && counts.has_room_for(vm, limits.budget)) {
                return false;
            }
        }
    }
    return has_pending;
}

// Adds one pool to the report; returns true if the wave has ended there.
bool add_pool(wave_report& report, const pool_record& record, const wave_progress& progress, absl::Time now) {
    for (const auto& [id, vm] : record.vms) {
        if (!counts_in_size(vm)) {
            continue;
        }
        ++report.total;
        report.done += is_pending(vm, progress.started_at) ? 0 : 1;
        report.in_progress += is_in_progress_for(vm, report.wave) ? 1 : 0;
        if (!progress.ended && is_pending(vm, progress.started_at) && has_exceeded_return_timeout(vm, now)) {
            report.never_returned.push_back(id);
        }
    }
    report.never_returned.insert(report.never_returned.end(), progress.never_returned.begin(),
                                 progress.never_returned.end());
    return progress.ended;
}

wave_status status_of(const declared_wave& wave, const wave_report& report, bool started, bool ended) {
    if (wave.state == wave_state::cancelled) {
        return wave_status::cancelled;
    }
    if (ended) {
        return wave_status::ended;
    }
    if (wave.state == wave_state::paused) {
        return wave_status::paused;
    }
    if (!started) {
        return wave_status::waiting;
    }
    return report.blocked_pools.empty() ? wave_status::running : wave_status::paused_by_failures;
}

}  // namespace

pool_record start_wave(const pool_record& record, const wave_name& wave, absl::Time now) {
    pool_record changed = record;
    changed.waves.try_emplace(wave, wave_progress{now, false, {}});
    return changed;
}

bool can_end_wave(const pool_record& record, const declared_wave& wave, absl::Time now) {
    const auto progress = record.waves.find(wave.name);
    if (progress == record.waves.end() || progress->second.ended) {
        return false;
    }
    return std::all_of(record.vms.begin(), record.vms.end(), [&](const auto& item) {
        const pool_vm& vm = item.second;
        if (wave.state == wave_state::cancelled) {
            return !is_in_progress_for(vm, wave.name) || has_exceeded_return_timeout(vm, now);
        }
        return !is_pending(vm, progress->second.started_at) || has_exceeded_return_timeout(vm, now);
    });
}

pool_record end_wave(const pool_record& record, const wave_name& wave, absl::Time now) {
    pool_record changed = record;
    wave_progress& progress = changed.waves.at(wave);
    progress.ended = true;
    for (const auto& [id, vm] : record.vms) {
        if (is_pending(vm, progress.started_at) && has_exceeded_return_timeout(vm, now)) {
            progress.never_returned.push_back(id);
        }
    }
    return changed;
}

wave_report report_wave(const declared_wave& wave, const std::map<pool_name, stored_pool_record>& records,
                        const std::map<pool_name, pool_limits>& limits,
                        const std::map<pool_name, unavailable_vms>& observed, absl::Time now) {
    wave_report report;
    report.wave = wave.name;
    bool started = false;
    bool ended = true;
    for (const pool_name& pool : wave.pools) {
        const auto stored = records.find(pool);
        if (stored == records.end()) {
            ended = false;
            continue;
        }
        const pool_record& record = stored->second.record;
        const auto progress = record.waves.find(wave.name);
        if (progress == record.waves.end()) {
            report.total += pool_size(record);
            ended = false;
            continue;
        }
        started = true;
        ended = add_pool(report, record, progress->second, now) && ended;
        const auto limit = limits.find(pool);
        const auto seen = observed.find(pool);
        if (!progress->second.ended && limit != limits.end() &&
            is_blocked(record, progress->second, limit->second,
                       seen == observed.end() ? unavailable_vms() : seen->second)) {
            report.blocked_pools.push_back(pool);
        }
    }
    report.status = status_of(wave, report, started, ended);
    return report;
}

}  // namespace masticpass
