#include "backend/http_backend_client.h"

#include <utility>

namespace masticpass {

namespace {

constexpr int status_ok = 200;
constexpr int status_service_unavailable = 503;

// A connection that was idle for longer is checked before it carries a request, since a middlebox may have
// dropped its state. Before it is sent, a request can go to a new connection even if it must not be repeated.
constexpr absl::Duration unchecked_idle_period = absl::Milliseconds(200);
constexpr absl::Duration health_check_timeout = absl::Milliseconds(300);

bool has_yes_header(const httplib::Response& response, const char* header) {
    return response.get_header_value(header) == "yes";
}

attempt_failure failure(verdict outcome, refusal_reason reason, std::string message, bool leaving = false) {
    return {refusal{outcome, reason, std::move(message)}, leaving};
}

attempt_failure to_failure(exchange_error error) {
    switch (error) {
        case exchange_error::not_sent:
            return failure(verdict::not_run, refusal_reason::connect_failed,
                           "could not connect to the backend server");
        case exchange_error::timed_out:
            return failure(verdict::may_have_run, refusal_reason::answer_timeout,
                           "the backend server sent no complete response in time");
        case exchange_error::broken:
            return failure(verdict::may_have_run, refusal_reason::connection_lost,
                           "the connection was closed before the response was complete");
        case exchange_error::unbounded_response:
            return failure(verdict::may_have_run, refusal_reason::answer_truncated,
                           "the response specifies no length, so its end cannot be verified");
        case exchange_error::too_large:
            return failure(verdict::may_have_run, refusal_reason::answer_truncated,
                           "the response is larger than the limit");
    }
    return failure(verdict::may_have_run, refusal_reason::internal_error, "unknown exchange error");
}

attempt_failure to_failure(attempt_end reason) {
    if (reason == attempt_end::timeout) {
        return to_failure(exchange_error::timed_out);
    }
    return failure(verdict::may_have_run, refusal_reason::connection_silent,
                   "the backend server does not know the attempt, so no response will arrive");
}

exchange_request health_check(absl::Duration timeout) {
    exchange_request check;
    check.method = "GET";
    check.path = "/health";
    check.timeout = timeout;
    return check;
}

exchange_request to_exchange(const backend_request& request, absl::Duration timeout) {
    exchange_request exchange;
    exchange.method = "POST";
    exchange.path = "/run";
    exchange.headers = {{"Masticpass-Attempt-Id", request.attempt.value()},
                        {"Masticpass-Service", request.service.value()},
                        {"Masticpass-Kind", request.kind.value()},
                        {"Content-Type", std::string(request.content_type)}};
    exchange.body = request.body;
    exchange.timeout = timeout;
    return exchange;
}

}  // namespace

http_backend_client::http_backend_client(const backend_limits& limits, const clock& time_source,
                                         connection_quota& quota)
    : limits_(limits),
      clock_(time_source),
      quota_(quota),
      pool_(limits.idle_timeout, limits.maximum_idle_connections_per_server) {}

bool http_backend_client::is_responding(connection& link) const {
    return link.exchange(health_check(health_check_timeout)).has_value() && link.is_reusable();
}

tl::expected<std::unique_ptr<connection>, attempt_failure> http_backend_client::connect(
    std::string_view address) {
    idle_connection idle = pool_.take(address, clock_.now());
    if (idle.link && (idle.idle_time <= unchecked_idle_period || is_responding(*idle.link))) {
        return std::move(idle.link);
    }
    if (idle.link) {
        // The other idle connections use the same network path as the silent one and were idle for at least
        // as long.
        pool_.discard(address);
    }
    return open(address);
}

tl::expected<std::unique_ptr<connection>, attempt_failure> http_backend_client::open(
    std::string_view address) {
    if (!quota_.acquire_connection(address)) {
        return tl::unexpected(failure(verdict::not_run, refusal_reason::no_server,
                                      "the connection limit of the backend server is reached"));
    }
    auto created =
        connection::create(address, limits_.connection, connection_permit(quota_, std::string(address)));
    if (!created) {
        return tl::unexpected(failure(verdict::not_run, refusal_reason::connect_failed, created.error()));
    }
    return std::move(*created);
}

tl::expected<backend_response, attempt_failure> http_backend_client::run(const backend_request& request) {
    const absl::Time deadline = clock_.now() + request.timeout;
    auto link = connect(request.address);
    if (!link) {
        return tl::unexpected(std::move(link.error()));
    }
    auto [result, end_reason] = exchange(**link, request, deadline - clock_.now());
    if (!result) {
        if (result.error() == exchange_error::not_sent) {
            return tl::unexpected(to_failure(result.error()));
        }
        pool_.discard(request.address);
        return tl::unexpected(end_reason ? to_failure(*end_reason) : to_failure(result.error()));
    }
    const bool leaving = has_yes_header(*result, "Masticpass-Leaving");
    // A response that names another attempt says nothing about this one.
    const std::string stated_attempt = result->get_header_value("Masticpass-Attempt-Id");
    const bool is_for_this_attempt = stated_attempt == request.attempt.value();
    if (result->status == status_service_unavailable && has_yes_header(*result, "Masticpass-Not-Run") &&
        (is_for_this_attempt || stated_attempt.empty())) {
        return tl::unexpected(failure(verdict::not_run, refusal_reason::server_refused,
                                      "the backend server did not start the request", leaving));
    }
    if (!is_for_this_attempt) {
        return tl::unexpected(failure(verdict::may_have_run, refusal_reason::answer_mismatched,
                                      "the response belongs to another attempt", leaving));
    }
    if (!end_reason && (*link)->is_reusable()) {
        pool_.put_back(request.address, std::move(*link), clock_.now());
    }
    backend_response response;
    response.status = result->status;
    response.content_type = result->get_header_value("Content-Type");
    response.body = std::move(result->body);
    response.leaving = leaving;
    return response;
}

http_backend_client::exchange_outcome http_backend_client::exchange(connection& link,
                                                                    const backend_request& request,
                                                                    absl::Duration timeout) {
    const auto attempt = std::make_shared<attempt_in_flight>();
    {
        const absl::MutexLock lock(&attempt->mutex);
        attempt->link = &link;
    }
    {
        const absl::MutexLock lock(&in_flight_mutex_);
        in_flight_.emplace(request.attempt, attempt);
    }
    auto result = link.exchange(to_exchange(request, timeout));
    {
        const absl::MutexLock lock(&in_flight_mutex_);
        in_flight_.erase(request.attempt);
    }
    const absl::MutexLock lock(&attempt->mutex);
    attempt->link = nullptr;
    return {std::move(result), attempt->end_reason};
}

bool http_backend_client::end_attempt(const attempt_id& attempt, attempt_end reason) {
    std::shared_ptr<attempt_in_flight> found;
    {
        const absl::MutexLock lock(&in_flight_mutex_);
        const auto entry = in_flight_.find(attempt);
        if (entry == in_flight_.end()) {
            return false;
        }
        found = entry->second;
    }
    // Only the lock of the attempt is held, since closing blocks while the connection is being opened.
    const absl::MutexLock lock(&found->mutex);
    if (found->link == nullptr || found->end_reason) {
        return false;
    }
    found->end_reason = reason;
    found->link->end();
    return true;
}

attempt_state http_backend_client::query_attempt(std::string_view address, const attempt_id& attempt,
                                                 absl::Duration timeout) {
    auto link = open(address);
    if (!link) {
        return attempt_state::not_answered;
    }
    exchange_request query = health_check(timeout);
    query.headers = {{"Masticpass-Attempt-Id", attempt.value()}};
    const auto result = (*link)->exchange(query);
    if (!result) {
        return attempt_state::not_answered;
    }
    const std::string stated = result->get_header_value("Masticpass-Attempt-State");
    if (stated == "running") {
        return attempt_state::running;
    }
    return stated == "unknown" ? attempt_state::unknown : attempt_state::not_stated;
}

probe_result http_backend_client::probe(std::string_view address, absl::Duration timeout) {
    auto link = open(address);
    if (!link) {
        return probe_result::not_probed;
    }
    const auto result = (*link)->exchange(health_check(timeout));
    if (!result) {
        return probe_result::unhealthy;
    }
    if (has_yes_header(*result, "Masticpass-Leaving")) {
        return probe_result::leaving;
    }
    return result->status == status_ok ? probe_result::healthy : probe_result::unhealthy;
}

}  // namespace masticpass
