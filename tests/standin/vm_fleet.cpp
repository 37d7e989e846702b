#include "standin/vm_fleet.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "common/clock.h"

namespace masticpass::standin {

namespace {

// Lists older than this are discarded. A call with a longer lag gets the oldest list that is left.
constexpr absl::Duration listing_retention = absl::Seconds(60);

absl::Time steady_now() {
    return monotonic_clock().now();
}

boot_id make_boot_id(const vm_id& vm, std::int64_t boots) {
    return boot_id(absl::StrCat(vm.value(), "-boot-", boots));
}

}  // namespace

vm_fleet::vm_fleet(const std::vector<listed_vm>& vms, absl::Duration reboot_time,
                   reboot_notifier notify_backend)
    : reboot_time_(reboot_time), notify_backend_(std::move(notify_backend)) {
    const absl::MutexLock lock(&mutex_);
    for (const listed_vm& vm : vms) {
        vm_record& record = vms_[vm.vm.value()];
        record.listed = vm;
        record.boots = 1;
        if (vm.boot.empty()) {
            record.listed.boot = make_boot_id(vm.vm, record.boots);
        }
    }
    publish();
}

vm_fleet::~vm_fleet() {
    std::list<reboot_thread> reboots;
    {
        const absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
        reboots.swap(reboots_);
    }
    for (reboot_thread& reboot : reboots) {
        reboot.thread.join();
    }
}

void vm_fleet::publish() {
    const absl::Time now = steady_now();
    dated_listing listing{.time = now, .index = ++index_, .vms = {}};
    for (const auto& [id, record] : vms_) {
        listing.vms.push_back(record.listed);
    }
    listings_.push_back(std::move(listing));
    while (listings_.size() > 1 && listings_[1].time < now - listing_retention) {
        listings_.pop_front();
    }
}

vm_listing vm_fleet::list(const zone_name& zone, absl::Duration lag) const {
    const absl::MutexLock lock(&mutex_);
    const absl::Time time = steady_now() - lag;
    const dated_listing* chosen = &listings_.front();
    for (const dated_listing& listing : listings_) {
        if (listing.time <= time) {
            chosen = &listing;
        }
    }
    vm_listing result;
    result.index = chosen->index;
    for (const listed_vm& vm : chosen->vms) {
        if (zone.empty() || vm.zone == zone) {
            result.vms.push_back(vm);
        }
    }
    return result;
}

tl::expected<void, reboot_error> vm_fleet::reboot(const reboot_request& request) {
    const absl::MutexLock lock(&mutex_);
    const auto found = vms_.find(request.vm.value());
    if (found == vms_.end() || found->second.listed.state == vm_state::terminated) {
        return tl::make_unexpected(
            reboot_error{.kind = reboot_error_kind::unknown_vm, .message = "unknown VM"});
    }
    vm_record& record = found->second;
    if (record.listed.boot != request.expected_boot) {
        return tl::make_unexpected(reboot_error{.kind = reboot_error_kind::boot_changed,
                                                .message = "the VM has another boot identity",
                                                .current_boot = record.listed.boot});
    }
    if (!record.is_rebooting) {
        start_reboot(record, request.pool, true);
    }
    return {};
}

bool vm_fleet::crash(const vm_id& vm) {
    const absl::MutexLock lock(&mutex_);
    const auto found = vms_.find(vm.value());
    if (found == vms_.end() || found->second.listed.state == vm_state::terminated) {
        return false;
    }
    if (!found->second.is_rebooting) {
        start_reboot(found->second, found->second.listed.pool, false);
    }
    return true;
}

bool vm_fleet::set_state(const vm_id& vm, vm_state state) {
    const absl::MutexLock lock(&mutex_);
    const auto found = vms_.find(vm.value());
    if (found == vms_.end() || found->second.listed.state == vm_state::terminated) {
        return false;
    }
    found->second.listed.state = state;
    publish();
    return true;
}

void vm_fleet::start_reboot(vm_record& record, const pool_name& pool, bool graceful) {
    join_finished();
    record.is_rebooting = true;
    if (graceful) {
        record.listed.state = vm_state::leaving;
        publish();
    }
    auto is_done = std::make_shared<bool>(false);
    const boot_id next_boot = make_boot_id(record.listed.vm, record.boots + 1);
    reboots_.push_back({.thread = std::thread([this, vm = record.listed, next_boot, pool, graceful, is_done] {
                            run_reboot(vm, next_boot, pool, graceful, is_done);
                        }),
                        .is_done = is_done});
}

void vm_fleet::run_reboot(const listed_vm& vm, const boot_id& next_boot, const pool_name& pool, bool graceful,
                          const std::shared_ptr<bool>& is_done) {
    if (notify_backend_) {
        notify_backend_(vm, next_boot, pool, graceful);
    }
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&is_stopping_), reboot_time_);
    vm_record& record = vms_.at(vm.vm.value());
    record.is_rebooting = false;
    if (!is_stopping_ && record.listed.state != vm_state::terminated) {
        ++record.boots;
        record.listed.boot = next_boot;
        record.listed.pool = pool;
        record.listed.state = vm_state::live;
        publish();
    }
    *is_done = true;
}

void vm_fleet::join_finished() {
    for (auto reboot = reboots_.begin(); reboot != reboots_.end();) {
        if (!*reboot->is_done) {
            ++reboot;
            continue;
        }
        // The thread sets `is_done` in its last critical section, so it can be joined while the mutex is
        // held.
        reboot->thread.join();
        reboot = reboots_.erase(reboot);
    }
}

}  // namespace masticpass::standin
