#include "peer/http_peer_client.h"

#include <utility>

#include "caller/request_format.h"
#include "json_rpc/client_call.h"

namespace masticpass {

namespace {

constexpr absl::Duration idle_timeout = absl::Seconds(3);
constexpr std::size_t maximum_idle_connections_per_peer = 8;

exchange_request post(std::string path, std::string_view body, absl::Duration timeout) {
    exchange_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = timeout;
    return request;
}

refusal forward_refusal(exchange_error error) {
    if (error == exchange_error::not_sent) {
        return {verdict::not_run, refusal_reason::peer_unreachable,
                "could not connect to the other entry VM"};
    }
    return {verdict::may_have_run, refusal_reason::peer_unreachable,
            "the other entry VM sent no complete response"};
}

}  // namespace

http_peer_client::http_peer_client(absl::Duration call_timeout, const connection_limits& limits,
                                   const clock& time_source)
    : call_timeout_(call_timeout),
      limits_(limits),
      clock_(time_source),
      pool_(idle_timeout, maximum_idle_connections_per_peer) {}

tl::expected<httplib::Response, exchange_error> http_peer_client::exchange(const std::string& address,
                                                                           const exchange_request& request) {
    std::unique_ptr<connection> link = pool_.take(address, clock_.now()).link;
    if (!link) {
        auto created = connection::create(address, limits_);
        if (!created) {
            return tl::unexpected(exchange_error::not_sent);
        }
        link = std::move(*created);
    }
    auto response = link->exchange(request);
    if (!response) {
        pool_.discard(address);
        return response;
    }
    if (link->is_reusable()) {
        pool_.put_back(address, std::move(link), clock_.now());
    }
    return response;
}

tl::expected<httplib::Response, exchange_error> http_peer_client::exchange_on_new_connection(
    const std::string& address, exchange_request request) {
    const auto link = connection::create(address, limits_);
    if (!link) {
        return tl::unexpected(exchange_error::not_sent);
    }
    request.headers.emplace("Connection", "close");
    auto response = (*link)->exchange(request);
    if (!response) {
        pool_.discard(address);
    }
    return response;
}

tl::expected<Json::Value, peer_error> http_peer_client::call(const std::string& address,
                                                             const std::string& method,
                                                             const Json::Value& parameters) {
    peer_error failure = peer_error::no_response;
    const json_rpc_transport transport = [&](const std::string& request, std::string& response_body) {
        const auto response = exchange_on_new_connection(address, post("/rpc", request, call_timeout_));
        if (!response) {
            failure = response.error() == exchange_error::not_sent ? peer_error::not_connected
                                                                   : peer_error::no_response;
            return false;
        }
        response_body = response->body;
        return true;
    };
    Json::Value result;
    json_rpc_error error;
    if (!call_json_rpc(transport, method, parameters, result, error)) {
        return tl::unexpected(failure);
    }
    return result;
}

tl::expected<heartbeat, peer_error> http_peer_client::exchange_heartbeat(const std::string& address,
                                                                         const heartbeat& beat) {
    Json::Value parameters;
    parameters["beat"] = to_json(beat);
    const auto result = call(address, "heartbeat", parameters);
    if (!result) {
        return tl::unexpected(result.error());
    }
    auto parsed = parse_heartbeat(*result);
    if (!parsed) {
        return tl::unexpected(peer_error::no_response);
    }
    return std::move(*parsed);
}

tl::expected<std::vector<record>, peer_error> http_peer_client::records_after(const std::string& address,
                                                                              std::uint64_t revision) {
    Json::Value parameters;
    parameters["revision"] = std::to_string(revision);
    const auto result = call(address, "records_after", parameters);
    if (!result) {
        return tl::unexpected(result.error());
    }
    auto parsed = parse_records(*result);
    if (!parsed) {
        return tl::unexpected(peer_error::no_response);
    }
    return std::move(*parsed);
}

tl::expected<void, peer_error> http_peer_client::push_records(const std::string& address,
                                                              const std::vector<record>& records) {
    Json::Value parameters;
    parameters["records"] = to_json(records);
    const auto result = call(address, "push_records", parameters);
    if (!result) {
        return tl::unexpected(result.error());
    }
    return {};
}

tl::expected<bool, peer_error> http_peer_client::hand_over_identities(
    const std::string& address, const std::vector<identity_transfer>& transfers) {
    Json::Value parameters;
    parameters["transfers"] = to_json(transfers);
    const auto result = call(address, "take_over_identities", parameters);
    if (!result) {
        return tl::unexpected(result.error());
    }
    return result->isBool() && result->asBool();
}

request_result http_peer_client::forward(const std::string& address, const service_request& request) {
    const absl::Time now = clock_.now();
    exchange_request message =
        post("/v1/services/" + request.service.value() + "/requests", request.body, request.deadline - now);
    message.headers = to_headers(request, now);
    const auto response = exchange(address, message);
    if (!response) {
        return tl::unexpected(forward_refusal(response.error()));
    }
    return read_result(*response);
}

verdict http_peer_client::cancel(const std::string& address, const request_id& id) {
    exchange_request message;
    message.method = "DELETE";
    message.path = "/v1/requests/" + id.value();
    message.timeout = call_timeout_;
    const auto response = exchange(address, message);
    if (!response) {
        return verdict::may_have_run;
    }
    return parse_verdict(response->get_header_value("Masticpass-Verdict")).value_or(verdict::may_have_run);
}

}  // namespace masticpass
