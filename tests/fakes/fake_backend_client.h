#ifndef MASTICPASS_FAKES_FAKE_BACKEND_CLIENT_H
#define MASTICPASS_FAKES_FAKE_BACKEND_CLIENT_H

#include <atomic>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "backend/backend_client.h"

namespace masticpass::fakes {

// A backend client that responds to attempts and probes with functions that a test sets. By default, each
// attempt gets the response "done" and each probe finds a healthy server.
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
        return respond ? respond(request) : success();
    }

    probe_result probe(std::string_view address, absl::Duration) override {
        return prober_ ? prober_(address) : probe_result::healthy;
    }

    attempt_state query_attempt(std::string_view, const attempt_id&, absl::Duration) override {
        ++status_requests_;
        return state_.load();
    }

    bool end_attempt(const attempt_id& attempt, attempt_end reason) override {
        const absl::MutexLock lock(&mutex_);
        ended_.emplace_back(attempt, reason);
        return true;
    }

    // Sets the result of `query_attempt`.
    void set_state(attempt_state state) { state_ = state; }
    // Number of calls of `query_attempt` so far.
    int status_requests() const { return status_requests_.load(); }
    std::vector<std::pair<attempt_id, attempt_end>> ended() const {
        const absl::MutexLock lock(&mutex_);
        return ended_;
    }

    void set_responder(responder respond) {
        const absl::MutexLock lock(&mutex_);
        respond_ = std::move(respond);
    }

    // Sets the function that responds to probes. Must be called before the first probe.
    void set_prober(std::function<probe_result(std::string_view)> prober) { prober_ = std::move(prober); }

    // Number of attempts so far.
    int runs() const { return runs_.load(); }

    static result success() {
        backend_response response;
        response.status = 200;
        response.body = "done";
        return response;
    }
    static result failure(verdict outcome, refusal_reason reason) {
        return tl::unexpected(attempt_failure{{outcome, reason, "failed by the test"}});
    }

private:
    std::atomic<int> runs_ = 0;
    std::function<probe_result(std::string_view)> prober_;
    std::atomic<int> status_requests_ = 0;
    std::atomic<attempt_state> state_ = attempt_state::not_stated;
    mutable absl::Mutex mutex_;
    std::vector<std::pair<attempt_id, attempt_end>> ended_ ABSL_GUARDED_BY(mutex_);
    responder respond_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
