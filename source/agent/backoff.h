#ifndef MASTICPASS_AGENT_BACKOFF_H
#define MASTICPASS_AGENT_BACKOFF_H

#include <stop_token>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace masticpass {

struct backoff_options {
    absl::Duration initial = absl::Milliseconds(50);
    absl::Duration maximum = absl::Seconds(5);
};

// Computes the delays between retries. The bound starts at `initial` and doubles with each delay, up to
// `maximum`. Each delay is random between half the bound and the bound, so that agents that failed at the
// same time do not retry at the same time. Thread safety: none.
class jittered_backoff {
public:
    // The generator that `random` refers to must outlive the object.
    jittered_backoff(const backoff_options& options, absl::BitGenRef random);

    // Returns the delay before the next retry.
    absl::Duration next();
    // Sets the bound back to `initial`. To be called after a success.
    void reset();

private:
    const backoff_options options_;
    absl::BitGenRef random_;
    absl::Duration bound_;
};

// Blocks for `duration` or until `stop` is requested. Returns false if stop was requested.
bool wait_unless_stopped(absl::Duration duration, const std::stop_token& stop);

}  // namespace masticpass

#endif
