#ifndef MASTICPASS_OPERATIONS_FAKE_FLEET_SERVICE_H
#define MASTICPASS_OPERATIONS_FAKE_FLEET_SERVICE_H

#include <atomic>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "operations/fleet_service.h"

namespace masticpass {

// A fleet_service with a configuration record in memory. While `failure` is set, calls that make a change
// fail with it.
class fake_fleet_service final : public fleet_service {
public:
    explicit fake_fleet_service(configuration_record record) : record_(std::move(record)) {}

    entry_status status() override {
        if (status_throws) {
            throw std::runtime_error("status is broken");
        }
        return {.entry = entry_id("entry-a1"),
                .zone = zone_name("a"),
                .version = "1",
                .is_store_reachable = true};
    }

    operations_result<configuration_view> show_configuration() override {
        const absl::MutexLock lock(&mutex_);
        return configuration_view{record_.revision, record_.configuration};
    }

    operations_result<change_result> propose_change(const configuration_change& change) override {
        const absl::MutexLock lock(&mutex_);
        ++change_calls;
        if (failure) {
            return tl::unexpected(*failure);
        }
        auto applied = apply_change(record_, change, {}, incarnation_id("one"));
        if (!applied) {
            const bool is_conflict = applied.error().kind == change_refusal_kind::conflict;
            return tl::unexpected(operations_error{
                is_conflict ? operations_error_code::conflict : operations_error_code::invalid,
                "the change was refused", applied.error().problems, applied.error().conflicts});
        }
        record_ = applied->record;
        return change_result{applied->revision, applied->is_repeated};
    }

    operations_result<pool_view> show_pool(const pool_name& pool) override {
        if (pool != pool_name("weaving")) {
            return tl::unexpected(operations_error{operations_error_code::not_found, "no such pool"});
        }
        pool_vm_view vm{
            .vm = vm_id("vm-1"), .zone = zone_name("a"), .rack = rack_name("r1"), .phase = "acting"};
        return pool_view{.pool = pool, .record_revision = 7, .vms = {vm}, .unavailable = 1};
    }

    std::vector<entry_view> list_entries() override {
        return {{.entry = entry_id("entry-a1"), .heartbeat_age = absl::Milliseconds(1500)}};
    }

    operations_result<wave_view> show_wave(const wave_name& wave) override {
        return wave_view{.wave = wave,
                         .status = "running",
                         .total = 10,
                         .done = 4,
                         .in_progress = 2,
                         .never_returned = {vm_id("vm-9")}};
    }

    operations_result<drain_result> drain_vm(const vm_id&, const std::string&, const operation_id&) override {
        ++drain_calls;
        if (failure) {
            return tl::unexpected(*failure);
        }
        return drain_result{pool_name("weaving"), "reserved"};
    }

    configuration_record record() {
        const absl::MutexLock lock(&mutex_);
        return record_;
    }

    // These may only be changed between calls.
    std::optional<operations_error> failure;
    bool status_throws = false;
    std::atomic<int> change_calls = 0;
    std::atomic<int> drain_calls = 0;

private:
    absl::Mutex mutex_;
    configuration_record record_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
