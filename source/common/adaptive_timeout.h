#ifndef MASTICPASS_COMMON_ADAPTIVE_TIMEOUT_H
#define MASTICPASS_COMMON_ADAPTIVE_TIMEOUT_H

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace masticpass {

// Timeout of the calls to one server, derived from the response times of earlier calls like the
// retransmission timeout of TCP (RFC 6298). Load pattern: a server that responds in milliseconds loses some
// responses, and each of them would otherwise hold up its caller, and all who wait for it, for the longest
// timeout. A server that turns slow doubles the timeout with each call that reaches it, until responses
// arrive again. Thread safety: all methods may be called from any thread.
class adaptive_timeout {
public:
    struct limits {
        absl::Duration minimum;
        absl::Duration maximum;
    };

    // The timeout is the maximum until the first response.
    explicit adaptive_timeout(const limits& configured) : limits_(configured), current_(configured.maximum) {}

    absl::Duration current() const;
    // A call was answered after `elapsed`.
    void record_response(absl::Duration elapsed);
    // A call with the timeout `used` had no response.
    void record_timeout(absl::Duration used);

private:
    const limits limits_;
    mutable absl::Mutex mutex_;
    bool has_response_ ABSL_GUARDED_BY(mutex_) = false;
    absl::Duration smoothed_ ABSL_GUARDED_BY(mutex_);
    absl::Duration variation_ ABSL_GUARDED_BY(mutex_);
    absl::Duration current_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
