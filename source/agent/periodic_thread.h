#ifndef MASTICPASS_AGENT_PERIODIC_THREAD_H
#define MASTICPASS_AGENT_PERIODIC_THREAD_H

#include <functional>
#include <thread>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "telemetry/guarded_call.h"

namespace masticpass {

// A thread that runs a function repeatedly, with a pause after each run. The pause is fixed or is returned by
// the function. An exception of the function is logged, and the function runs again after a pause.
// Thread safety: `wake` may be called from any thread; construct and destroy on one thread. The destructor
// waits for the run in progress.
class periodic_thread {
public:
    periodic_thread(absl::Duration pause, std::function<void()> work)
        : periodic_thread([pause, run = std::move(work)] {
              run();
              return pause;
          }) {}
    explicit periodic_thread(std::function<absl::Duration()> work)
        : work_(std::move(work)), thread_([this] { loop(); }) {}
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;
    ~periodic_thread() {
        {
            const absl::MutexLock lock(&mutex_);
            stopping_ = true;
        }
        thread_.join();
    }

    // Ends the current pause, or skips the pause after the run in progress.
    void wake() {
        const absl::MutexLock lock(&mutex_);
        wake_requested_ = true;
    }

private:
    void loop() {
        while (true) {
            absl::Duration pause = pause_after_exception;
            call_guarded("periodic-work", [&] { pause = work_(); });
            const absl::MutexLock lock(&mutex_);
            mutex_.AwaitWithTimeout(absl::Condition(this, &periodic_thread::should_resume), pause);
            if (stopping_) {
                return;
            }
            wake_requested_ = false;
        }
    }

    bool should_resume() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stopping_ || wake_requested_; }

    static constexpr absl::Duration pause_after_exception = absl::Seconds(1);

    const std::function<absl::Duration()> work_;
    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool wake_requested_ ABSL_GUARDED_BY(mutex_) = false;
    // The last member, so that the thread starts after all other members are constructed.
    std::thread thread_;
};

}  // namespace masticpass

#endif
