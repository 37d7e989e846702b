#ifndef MASTICPASS_PROCESS_BUDGET_WATCH_H
#define MASTICPASS_PROCESS_BUDGET_WATCH_H

#include <algorithm>
#include <atomic>
#include <thread>

#include <absl/time/clock.h>

#include "process/test_fleet.h"

namespace masticpass::process_test {

// Polls the platform's VM list on a thread of its own, as the platform knows what is down whatever the entry
// VMs believe. A VM counts as down while it is not live.
class budget_watch {
public:
    explicit budget_watch(const test_fleet& fleet)
        : fleet_(fleet), thread_([this] {
              while (!is_stopping_) {
                  observe();
                  absl::SleepFor(absl::Milliseconds(10));
              }
          }) {}
    ~budget_watch() {
        is_stopping_ = true;
        thread_.join();
    }
    budget_watch(const budget_watch&) = delete;
    budget_watch& operator=(const budget_watch&) = delete;

    // The most VMs that were down in one list.
    int most_down() const { return most_down_; }
    int down_now() const { return down_now_; }

private:
    void observe() {
        int down = 0;
        for (const Json::Value& vm : fleet_.list_vms()) {
            down += vm["state"].asString() == "live" ? 0 : 1;
        }
        down_now_ = down;
        most_down_ = std::max(most_down_.load(), down);
    }

    const test_fleet& fleet_;
    std::atomic<int> most_down_ = 0;
    std::atomic<int> down_now_ = 0;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

}  // namespace masticpass::process_test

#endif
