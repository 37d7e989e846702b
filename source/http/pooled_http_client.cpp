#include "http/pooled_http_client.h"

#include <utility>

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include "common/clock.h"
#include "http/client.h"

namespace masticpass {

namespace {

constexpr int status_ok = 200;

absl::Time steady_now() {
    return monotonic_clock().now();
}

http_failure to_failure(httplib::Error error, const std::string& address) {
    const bool connect_failed = error == httplib::Error::Connection ||
                                error == httplib::Error::ConnectionTimeout ||
                                error == httplib::Error::BindIPAddress;
    return {.may_have_been_received = !connect_failed,
            .message = absl::StrCat(httplib::to_string(error), " (", address, ")")};
}

httplib::Request make_post_request(const std::string& path, std::string json) {
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(json);
    request.headers.emplace("Content-Type", "application/json");
    return request;
}

}  // namespace

pooled_http_client::pooled_http_client(std::string address, const http_connection_limits& limits)
    : address_(std::move(address)), limits_(limits) {}

pooled_http_client::~pooled_http_client() = default;

std::unique_ptr<httplib::Client> pooled_http_client::make_client() const {
    http_client_options options;
    options.connect_timeout = limits_.connect_timeout;
    options.read_timeout = limits_.call_timeout;
    options.write_timeout = limits_.call_timeout;
    options.reset_on_close = true;
    return create_http_client(address_, options);
}

std::unique_ptr<httplib::Client> pooled_http_client::acquire_client() {
    {
        const absl::MutexLock lock(&mutex_);
        if (!idle_connections_.empty() &&
            steady_now() - idle_connections_.back().since < limits_.idle_timeout) {
            auto client = std::move(idle_connections_.back().client);
            idle_connections_.pop_back();
            return client;
        }
        idle_connections_.clear();
    }
    return make_client();
}

void pooled_http_client::release_client(std::unique_ptr<httplib::Client> client) {
    const absl::MutexLock lock(&mutex_);
    if (idle_connections_.size() < limits_.maximum_idle_connections) {
        idle_connections_.push_back({.client = std::move(client), .since = steady_now()});
    }
}

tl::expected<http_response, http_failure> pooled_http_client::send(httplib::Request& request,
                                                                   absl::Duration call_timeout) {
    // The library restarts its read timeout with every part of the body, so the receiver enforces the timeout
    // of the whole call.
    const absl::Time deadline = steady_now() + limits_.connect_timeout + call_timeout;
    std::string body;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= limits_.maximum_response_bytes && steady_now() < deadline;
    };
    auto client = acquire_client();
    client->set_read_timeout(absl::ToChronoMicroseconds(call_timeout));
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!client->send(request, response, error)) {
        // The cause of the failure may affect the idle connections as well.
        const absl::MutexLock lock(&mutex_);
        idle_connections_.clear();
        return tl::make_unexpected(to_failure(error, address_));
    }
    release_client(std::move(client));
    return http_response{.status = response.status, .body = std::move(body)};
}

tl::expected<http_response, http_failure> pooled_http_client::get(const std::string& path) {
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    return send(request, limits_.call_timeout);
}

tl::expected<http_response, http_failure> pooled_http_client::post(const std::string& path,
                                                                   std::string json) {
    httplib::Request request = make_post_request(path, std::move(json));
    return send(request, limits_.call_timeout);
}

tl::expected<http_response, http_failure> pooled_http_client::call(const http_request& request,
                                                                   absl::Duration call_timeout) {
    httplib::Request library_request;
    library_request.method = request.method;
    library_request.path = request.path;
    library_request.body = request.body;
    for (const auto& [name, value] : request.headers) {
        library_request.headers.emplace(name, value);
    }
    if (!request.body.empty()) {
        library_request.headers.emplace("Content-Type", "application/json");
    }
    return send(library_request, call_timeout);
}

tl::expected<int, http_failure> pooled_http_client::post_streamed(const std::string& path, std::string json,
                                                                  absl::Duration timeout,
                                                                  const std::stop_token& stop,
                                                                  const body_receiver& receiver) {
    const auto client = make_client();
    client->set_keep_alive(false);
    client->set_read_timeout(absl::ToChronoMicroseconds(timeout));
    httplib::Request request = make_post_request(path, std::move(json));
    int status = 0;
    bool ended_by_receiver = false;
    const absl::Time deadline = steady_now() + timeout;
    request.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        return !stop.stop_requested();
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        ended_by_receiver = !receiver({data, size});
        return !ended_by_receiver && !stop.stop_requested() && steady_now() < deadline;
    };
    // A stop that is requested before the connection is open has no effect on the client; the handlers above
    // check for it.
    const std::stop_callback close_connection(stop, [&client] { client->stop(); });
    httplib::Response response;
    auto error = httplib::Error::Success;
    const bool complete = client->send(request, response, error);
    if (ended_by_receiver || stop.stop_requested() || (complete && status != status_ok)) {
        return status;
    }
    if (status == 0) {
        return tl::make_unexpected(to_failure(error, address_));
    }
    if (steady_now() < deadline) {
        return tl::make_unexpected(
            http_failure{.message = absl::StrCat("the stream ended before its timeout (", address_, ")")});
    }
    return status;
}

}  // namespace masticpass
