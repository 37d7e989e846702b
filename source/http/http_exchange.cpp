#include "http/http_exchange.h"

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

httplib::Request post_request(const std::string& path, std::string json) {
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(json);
    request.headers.emplace("Content-Type", "application/json");
    return request;
}

}  // namespace

http_exchange::http_exchange(std::string address, const exchange_limits& limits)
    : address_(std::move(address)), limits_(limits) {}

http_exchange::~http_exchange() = default;

std::unique_ptr<httplib::Client> http_exchange::make_client() const {
    http_client_options options;
    options.connect_timeout = limits_.connect_timeout;
    options.read_timeout = limits_.call_timeout;
    options.write_timeout = limits_.call_timeout;
    options.reset_on_close = true;
    return create_http_client(address_, options);
}

std::unique_ptr<httplib::Client> http_exchange::take_client() {
    {
        const absl::MutexLock lock(&mutex_);
        if (!idle_.empty() && steady_now() - idle_.back().since < limits_.idle_timeout) {
            auto client = std::move(idle_.back().client);
            idle_.pop_back();
            return client;
        }
        idle_.clear();
    }
    return make_client();
}

void http_exchange::give_back(std::unique_ptr<httplib::Client> client) {
    const absl::MutexLock lock(&mutex_);
    if (idle_.size() < limits_.maximum_idle_connections) {
        idle_.push_back({.client = std::move(client), .since = steady_now()});
    }
}

tl::expected<http_response, http_failure> http_exchange::exchange(httplib::Request& request,
                                                                  absl::Duration call_timeout) {
    // The library's read timeout starts anew with every part of the body, so the whole call is limited here.
    const absl::Time deadline = steady_now() + limits_.connect_timeout + call_timeout;
    std::string body;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= limits_.maximum_response_bytes && steady_now() < deadline;
    };
    auto client = take_client();
    client->set_read_timeout(absl::ToChronoMicroseconds(call_timeout));
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!client->send(request, response, error)) {
        // Whatever silenced this connection may have silenced the idle ones too.
        const absl::MutexLock lock(&mutex_);
        idle_.clear();
        return tl::make_unexpected(to_failure(error, address_));
    }
    give_back(std::move(client));
    return http_response{.status = response.status, .body = std::move(body)};
}

tl::expected<http_response, http_failure> http_exchange::get(const std::string& path) {
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    return exchange(request, limits_.call_timeout);
}

tl::expected<http_response, http_failure> http_exchange::post(const std::string& path, std::string json) {
    httplib::Request request = post_request(path, std::move(json));
    return exchange(request, limits_.call_timeout);
}

tl::expected<http_response, http_failure> http_exchange::call(const http_call& call,
                                                              absl::Duration call_timeout) {
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    for (const auto& [name, value] : call.headers) {
        request.headers.emplace(name, value);
    }
    if (!call.body.empty()) {
        request.headers.emplace("Content-Type", "application/json");
    }
    return exchange(request, call_timeout);
}

tl::expected<int, http_failure> http_exchange::post_streamed(const std::string& path, std::string json,
                                                             absl::Duration timeout,
                                                             const std::stop_token& stop,
                                                             const body_receiver& receiver) {
    const auto client = make_client();
    client->set_keep_alive(false);
    client->set_read_timeout(absl::ToChronoMicroseconds(timeout));
    httplib::Request request = post_request(path, std::move(json));
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
    // A request to stop before the connection is open has no effect here; the handlers above see it.
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
            http_failure{.message = absl::StrCat("stream ended early (", address_, ")")});
    }
    return status;
}

}  // namespace masticpass
