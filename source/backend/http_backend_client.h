#ifndef MASTICPASS_BACKEND_HTTP_BACKEND_CLIENT_H
#define MASTICPASS_BACKEND_HTTP_BACKEND_CLIENT_H

#include <memory>
#include <optional>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "backend/backend_client.h"
#include "backend/connection_pool.h"
#include "backend/connection_quota.h"
#include "common/clock.h"

namespace masticpass {

struct backend_limits {
    connection_limits connection;
    absl::Duration idle_timeout = absl::Seconds(5);
    // Together with one connection in use, these are the 8 connections per slot.
    std::size_t maximum_idle_connections_per_server = 7;
};

// Communicates with backend servers over HTTP/1.1.
// Ownership: owns its connections; borrows the clock and the quota, which must outlive it.
// Thread safety: all methods may be called from any thread.
class http_backend_client final : public backend_client {
public:
    http_backend_client(const backend_limits& limits, const clock& time_source, connection_quota& quota);

    tl::expected<backend_response, attempt_failure> run(const backend_request& request) override;
    probe_result probe(std::string_view address, absl::Duration timeout) override;
    attempt_state query_attempt(std::string_view address, const attempt_id& attempt,
                                absl::Duration timeout) override;
    bool end_attempt(const attempt_id& attempt, attempt_end reason) override;

    // Closes connections that were idle for longer than the idle timeout. To be called about every second.
    void close_stale() { pool_.close_stale(clock_.now()); }

private:
    // An attempt whose exchange is in progress.
    struct attempt_in_flight {
        absl::Mutex mutex;
        // Null after the exchange has ended.
        connection* link ABSL_GUARDED_BY(mutex) = nullptr;
        std::optional<attempt_end> end_reason ABSL_GUARDED_BY(mutex);
    };
    struct exchange_outcome {
        tl::expected<httplib::Response, exchange_error> result;
        // Set if end_attempt closed the connection.
        std::optional<attempt_end> end_reason;
    };

    exchange_outcome exchange(connection& link, const backend_request& request, absl::Duration timeout);
    tl::expected<std::unique_ptr<connection>, attempt_failure> connect(std::string_view address);
    tl::expected<std::unique_ptr<connection>, attempt_failure> open(std::string_view address);
    bool is_responding(connection& link) const;

    backend_limits limits_;
    const clock& clock_;
    connection_quota& quota_;
    connection_pool pool_;
    absl::Mutex in_flight_mutex_;
    absl::flat_hash_map<attempt_id, std::shared_ptr<attempt_in_flight>> in_flight_
        ABSL_GUARDED_BY(in_flight_mutex_);
};

}  // namespace masticpass

#endif
