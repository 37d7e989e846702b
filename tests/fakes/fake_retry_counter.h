#ifndef MASTICPASS_FAKES_FAKE_RETRY_COUNTER_H
#define MASTICPASS_FAKES_FAKE_RETRY_COUNTER_H

#include <map>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "agent/retry_counter.h"

namespace masticpass::fakes {

// Counts retries by reason.
// Thread safety: all methods may be called from any thread.
class fake_retry_counter final : public retry_counter {
public:
    void count(retry_reason reason) override {
        const absl::MutexLock lock(&mutex_);
        ++counts_[reason];
    }

    // Number of retries for this reason so far.
    int counted(retry_reason reason) const {
        const absl::MutexLock lock(&mutex_);
        const auto found = counts_.find(reason);
        return found == counts_.end() ? 0 : found->second;
    }

private:
    mutable absl::Mutex mutex_;
    std::map<retry_reason, int> counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
