#include "support/fleet_changes.h"

#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace masticpass::measure {

namespace {

constexpr double seconds_per_day = 86400.0;
constexpr double changes_per_day = 3700.0;
constexpr double drains_per_day = 2400.0 / 3.0;

// Calls `action` with consecutive numbers from 0 on, at a fixed rate, until the duration has passed.
template <typename Work>
void call_at_fixed_rate(double rate, absl::Duration duration, Work action) {
    const absl::Time start = absl::Now();
    for (int number = 0;; ++number) {
        const absl::Time scheduled = start + absl::Seconds((number + 0.5) / rate);
        if (scheduled > start + duration) {
            break;
        }
        absl::SleepFor(scheduled - absl::Now());
        action(number);
    }
    absl::SleepFor(start + duration - absl::Now());
}

}  // namespace

change_counts make_changes(const process_fleet& processes, int vms, double factor, absl::Duration duration) {
    change_counts result;
    std::thread drain_thread([&] {
        call_at_fixed_rate(drains_per_day * factor / seconds_per_day, duration, [&](int number) {
            const int entry = number % processes.entry_count();
            const auto response = processes.operations_client_of(entry).drain_vm(
                vm_id(absl::StrCat("vm-", number % vms)), "measure",
                operation_id(absl::StrCat("drain-", number)));
            ++result.drains_requested;
            result.drains_started += response ? 1 : 0;
        });
    });
    call_at_fixed_rate(changes_per_day * factor / seconds_per_day, duration, [&](int number) {
        const int entry = number % processes.entry_count();
        const auto response = processes.operations_client_of(entry).propose_change(
            processes.quota_change(absl::StrCat("change-", number)));
        ++result.proposed;
        result.accepted += response ? 1 : 0;
    });
    drain_thread.join();
    return result;
}

}  // namespace masticpass::measure
