#ifndef MASTICPASS_STANDIN_STOP_SIGNAL_H
#define MASTICPASS_STANDIN_STOP_SIGNAL_H

#include <csignal>

#include <pthread.h>

namespace masticpass::standin {

// Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts later, so that one thread
// can wait for these signals.
class stop_signal {
public:
    stop_signal() {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }

    // Blocks until the process receives SIGTERM or SIGINT.
    void wait() const {
        int received = 0;
        sigwait(&signals_, &received);
    }

private:
    sigset_t signals_{};
};

}  // namespace masticpass::standin

#endif
