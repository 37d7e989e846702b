#include "support/fleet_changes.h"

#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace masticpass::measure {

namespace {

constexpr double seconds_per_day = 86400.0;
constexpr double changes_per_day = 3700.0;
constexpr double drains_per_day = 2400.0 / 3.0;

// Calls `work` with a running number at a fixed rate until the duration has passed.
template <typename Work>
void repeat(double rate, absl::Duration duration, Work work) {
    const absl::Time start = absl::Now();
    for (int number = 0;; ++number) {
        const absl::Time next = start + absl::Seconds((number + 0.5) / rate);
        if (next > start + duration) {
            break;
        }
        absl::SleepFor(next - absl::Now());
        work(number);
    }
    absl::SleepFor(start + duration - absl::Now());
}

}  // namespace

change_counts make_changes(const process_fleet& processes, int vms, double factor, absl::Duration duration) {
    change_counts result;
    std::thread drains([&] {
        repeat(drains_per_day * factor / seconds_per_day, duration, [&](int number) {
            const int entry = number % processes.entry_count();
            const auto answer =
                processes.operators(entry).drain_vm(vm_id(absl::StrCat("vm-", number % vms)), "measure",
                                                    operation_id(absl::StrCat("drain-", number)));
            ++result.drains;
            result.drained += answer ? 1 : 0;
        });
    });
    repeat(changes_per_day * factor / seconds_per_day, duration, [&](int number) {
        const int entry = number % processes.entry_count();
        const auto answer = processes.operators(entry).propose_change(
            processes.small_change(absl::StrCat("change-", number)));
        ++result.proposed;
        result.accepted += answer ? 1 : 0;
    });
    drains.join();
    return result;
}

}  // namespace masticpass::measure
