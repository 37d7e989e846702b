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

// Delays between tries: the bound doubles with each, and each delay is drawn between half of the bound and
// the bound, so that agents that failed together do not try again together. Thread safety: none.
class jittered_backoff {
public:
    // The generator that `random` refers to must outlive the object.
    jittered_backoff(const backoff_options& options, absl::BitGenRef random);

    absl::Duration next();
    // The next delay is short again. Call after a success.
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
