#ifndef MASTICPASS_STANDIN_STOP_SIGNAL_H
#define MASTICPASS_STANDIN_STOP_SIGNAL_H

#include <csignal>

#include <pthread.h>

namespace masticpass::standin {

// Blocks SIGTERM and SIGINT for this thread and those it starts later, so that one thread can wait for them.
class stop_signal {
public:
    stop_signal() {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }

    // Returns when the process gets SIGTERM or SIGINT.
    void wait() const {
        int received = 0;
        sigwait(&signals_, &received);
    }

private:
    sigset_t signals_{};
};

}  // namespace masticpass::standin

#endif
