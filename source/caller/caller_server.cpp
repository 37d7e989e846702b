#include "caller/caller_server.h"

#include <string>
#include <utility>

#include <absl/strings/numbers.h>
#include <json/json.h>

#include "caller/request_format.h"

namespace masticpass {

namespace {

constexpr int status_ok = 200;
constexpr int status_payload_too_large = 413;
constexpr std::size_t maximum_identity_count = 1000;

metric_name refusal_metric(refusal_reason reason) {
    return {"masticpass_refusals_total", "reason", std::string(to_string(reason))};
}

void refuse(const refusal& refused, metrics_registry& metrics, httplib::Response& response) {
    metrics.count(refusal_metric(refused.reason));
    write_refusal(refused, response);
}

void handle_request(request_handler& handler, const clock& time_source, metrics_registry& metrics,
                    bool forwarded, const httplib::Request& request, httplib::Response& response) {
    const absl::Time start = time_source.now();
    auto parsed = read_request(request, service_name(request.matches[1].str()), start);
    if (!parsed) {
        refusal refused = parsed.error();
        refused.outcome = refusal_verdict(request, handler);
        refuse(refused, metrics, response);
        return;
    }
    parsed->forwarded = forwarded;
    const request_result result = handler.handle(*parsed);
    if (!result) {
        metrics.count(refusal_metric(result.error().reason));
    }
    write_result(result, response);
    metrics.observe({"masticpass_request_seconds", "service", parsed->service.value()},
                    time_source.now() - start);
}

void handle_issue_identities(request_handler& handler, metrics_registry& metrics,
                             const httplib::Request& request, httplib::Response& response) {
    std::size_t count = 1;
    const bool valid =
        !request.has_param("count") || absl::SimpleAtoi(request.get_param_value("count"), &count);
    if (!valid || count == 0 || count > maximum_identity_count) {
        refuse({verdict::not_run, refusal_reason::invalid_request, "count must be a number from 1 to 1000"},
               metrics, response);
        return;
    }
    const auto identities = handler.issue_identities(count);
    if (!identities) {
        refuse(identities.error(), metrics, response);
        return;
    }
    Json::Value body;
    for (const request_id& id : *identities) {
        body["identities"].append(id.value());
    }
    response.set_content(Json::writeString(Json::StreamWriterBuilder(), body), "application/json");
}

void handle_cancel(request_handler& handler, bool forwarded, const httplib::Request& request,
                   httplib::Response& response) {
    const verdict outcome = handler.cancel(request_id(request.matches[1].str()), forwarded);
    Json::Value body;
    body["verdict"] = std::string(to_string(outcome));
    response.status = status_ok;
    response.set_header("Masticpass-Verdict", std::string(to_string(outcome)));
    response.set_content(Json::writeString(Json::StreamWriterBuilder(), body), "application/json");
}

// Adds a verdict to an error response that the HTTP library created without calling a handler.
void add_verdict(request_handler& handler, metrics_registry& metrics, const httplib::Request& request,
                 httplib::Response& response) {
    if (response.has_header("Masticpass-Verdict")) {
        return;
    }
    const int status = response.status;
    const refusal_reason reason = status == status_payload_too_large ? refusal_reason::request_too_large
                                                                     : refusal_reason::invalid_request;
    refuse({refusal_verdict(request, handler), reason, "the HTTP server rejected the request"}, metrics,
           response);
    response.status = status;
}

}  // namespace

void add_request_routes(httplib::Server& server, request_handler& handler, const clock& time_source,
                        metrics_registry& metrics, bool forwarded) {
    server.Post(R"(/v1/services/([A-Za-z0-9_.-]+)/requests)",
                [&handler, &time_source, &metrics, forwarded](const httplib::Request& request,
                                                              httplib::Response& response) {
                    handle_request(handler, time_source, metrics, forwarded, request, response);
                });
    server.Post("/v1/identities",
                [&handler, &metrics](const httplib::Request& request, httplib::Response& response) {
                    handle_issue_identities(handler, metrics, request, response);
                });
    server.Delete(R"(/v1/requests/([A-Za-z0-9_.-]+))",
                  [&handler, forwarded](const httplib::Request& request, httplib::Response& response) {
                      handle_cancel(handler, forwarded, request, response);
                  });
    const httplib::Server::Handler error_handler = [&handler, &metrics](const httplib::Request& request,
                                                                        httplib::Response& response) {
        add_verdict(handler, metrics, request, response);
    };
    server.set_error_handler(error_handler);
    server.set_exception_handler(
        [&metrics](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
            refuse({verdict::may_have_run, refusal_reason::internal_error, "internal error of the entry VM"},
                   metrics, response);
        });
}

tl::expected<std::unique_ptr<caller_server>, std::string> caller_server::create(const settings& configured,
                                                                                request_handler& handler,
                                                                                const clock& time_source,
                                                                                metrics_registry& metrics) {
    http_server_options options;
    options.worker_threads = configured.limits.caller_connections;
    options.maximum_request_bytes = configured.limits.request_bytes;
    auto server = http_server::create(configured.listen.caller.ip, configured.listen.caller.port, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    add_request_routes((*server)->routes(), handler, time_source, metrics, false);
    return std::unique_ptr<caller_server>(new caller_server(std::move(*server)));
}

}  // namespace masticpass
