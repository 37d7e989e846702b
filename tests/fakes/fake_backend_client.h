#ifndef MASTICPASS_FAKES_FAKE_BACKEND_CLIENT_H
#define MASTICPASS_FAKES_FAKE_BACKEND_CLIENT_H

#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "backend/backend_client.h"

namespace masticpass::fakes {

// Answers attempts and probes with functions that a test sets; without them, each attempt gets the response
// "done" and each probe finds a healthy server.
// Thread safety: all methods may be called from any thread.
class fake_backend_client final : public backend_client {
public:
    using result = tl::expected<backend_response, attempt_failure>;
    using responder = std::function<result(const backend_request& request)>;

    result run(const backend_request& request) override {
        ++runs_;
        responder respond;
        {
            const absl::MutexLock lock(&mutex_);
            respond = respond_;
        }
        return respond ? respond(request) : done();
    }

    probe_result probe(std::string_view address, absl::Duration) override {
        return prober_ ? prober_(address) : probe_result::healthy;
    }

    void set_responder(responder respond) {
        const absl::MutexLock lock(&mutex_);
        respond_ = std::move(respond);
    }

    // Answers probes. Set before the first one.
    void set_prober(std::function<probe_result(std::string_view)> prober) { prober_ = std::move(prober); }

    int runs() const { return runs_.load(); }

    static result done() {
        backend_response response;
        response.status = 200;
        response.body = "done";
        return response;
    }
    static result failed(verdict outcome, refusal_reason reason) {
        return tl::unexpected(attempt_failure{{outcome, reason, "failed by the test"}});
    }

private:
    std::atomic<int> runs_ = 0;
    std::function<probe_result(std::string_view)> prober_;
    absl::Mutex mutex_;
    responder respond_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
