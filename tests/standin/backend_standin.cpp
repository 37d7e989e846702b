#include "standin/backend_standin.h"

#include <chrono>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>
#include <json/json.h>

#include "standin/backend_state.h"
#include "standin/background_http_server.h"
#include "standin/stop_signal.h"
#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

constexpr std::size_t handler_threads = 80;
// Longer than entry VMs keep idle connections open, so that the server closes none while a request is sent on
// it.
constexpr std::chrono::seconds idle_timeout = std::chrono::seconds(60);
// Entry VMs forward requests of up to 8 MiB.
constexpr std::size_t maximum_payload_bytes = std::size_t{16} << 20U;
constexpr int status_bad_request = 400;
constexpr int status_internal_server_error = 500;
constexpr int status_service_unavailable = 503;

void refuse(const backend_behaviour& behaviour, httplib::Response& response) {
    response.status = status_service_unavailable;
    response.set_header("Masticpass-Not-Run", "yes");
    if (behaviour.leaving) {
        response.set_header("Masticpass-Leaving", "yes");
    }
    response.set_content("refused", "text/plain");
}

// Sends half of the body that the Content-Length header declares, then closes the connection.
void answer_truncated(std::size_t size, httplib::Response& response) {
    response.set_content_provider(size, "text/plain",
                                  [size](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                                      if (offset > 0) {
                                          return false;
                                      }
                                      const std::string half(size / 2, 'x');
                                      return sink.write(half.data(), half.size());
                                  });
}

void run_job(backend_state& state, const httplib::Request& request, httplib::Response& response) {
    const auto body = etcd::parse_object(request.body);
    if (!body) {
        response.status = status_bad_request;
        response.set_header("Masticpass-Attempt-Id", request.get_header_value("Masticpass-Attempt-Id"));
        response.set_content("the body is not a JSON object", "text/plain");
        return;
    }
    const std::string job = body->get("job", "").asString();
    const backend_behaviour behaviour = state.behaviour();
    if (!state.begin_job(job, request.remote_port)) {
        refuse(behaviour, response);
        return;
    }
    const bool fails = behaviour.fail_all || body->get("fail", false).asBool();
    if (!fails) {
        absl::SleepFor(absl::Milliseconds(body->get("run_ms", 0).asInt()));
    }
    state.end_job(job, !fails);
    absl::SleepFor(absl::Milliseconds(behaviour.late_ms));
    const std::string id = request.get_header_value("Masticpass-Attempt-Id");
    response.set_header("Masticpass-Attempt-Id", behaviour.wrong_attempt_id ? "another" : id);
    if (fails) {
        response.status = status_internal_server_error;
        response.set_content("failed", "text/plain");
        return;
    }
    const auto size = static_cast<std::size_t>(body->get("response_bytes", 16).asInt());
    if (behaviour.truncate) {
        answer_truncated(size, response);
        return;
    }
    response.set_content(std::string(size, 'r'), "text/plain");
}

void add_control(backend_state& state, httplib::Server& server) {
    server.Post("/control/behaviour", [&state](const httplib::Request& request, httplib::Response& response) {
        const auto change = etcd::parse_object(request.body);
        if (!change) {
            response.status = status_bad_request;
            return;
        }
        state.set_behaviour(*change);
    });
    server.Post("/control/silence",
                [&state](const httplib::Request&, httplib::Response&) { state.silence_open_connections(); });
    server.Post("/control/reboot", [&state](const httplib::Request&, httplib::Response&) {
        state.wait_until_idle();
        Json::Value change;
        change["leaving"] = false;
        state.set_behaviour(change);
    });
    server.Get("/control/counters", [&state](const httplib::Request&, httplib::Response& response) {
        respond_json(response, 200, state.counters());
    });
    server.Get("/control/runs", [&state](const httplib::Request&, httplib::Response& response) {
        respond_json(response, 200, state.runs());
    });
}

}  // namespace

int run_backend_standin(int argument_count, const char* const* arguments) {
    CLI::App application("Stand-in for a backend server");
    std::string host = "127.0.0.1";
    int port = 0;
    int slots = 8;
    application.add_option("--host", host);
    application.add_option("--port", port)->required();
    application.add_option("--slots", slots);
    CLI11_PARSE(application, argument_count, arguments);

    const stop_signal stop;
    backend_state state(slots);
    background_http_server http_server(handler_threads, idle_timeout);
    httplib::Server& server = http_server.server();
    server.set_payload_max_length(maximum_payload_bytes);
    server.Post("/run", [&state](const httplib::Request& request, httplib::Response& response) {
        // A silent connection delivers nothing, so its request must not count as received.
        state.wait_while_silent(request.remote_port);
        const std::string attempt = request.get_header_value("Masticpass-Attempt-Id");
        state.begin_attempt(attempt);
        run_job(state, request, response);
        state.end_attempt(attempt);
    });
    server.Get("/health", [&state](const httplib::Request& request, httplib::Response& response) {
        state.wait_while_silent(request.remote_port);
        if (state.behaviour().leaving) {
            response.set_header("Masticpass-Leaving", "yes");
        }
        if (request.has_header("Masticpass-Attempt-Id")) {
            const bool is_running =
                state.is_attempt_running(request.get_header_value("Masticpass-Attempt-Id"));
            response.set_header("Masticpass-Attempt-State", is_running ? "running" : "unknown");
        }
        response.set_content("ok", "text/plain");
    });
    add_control(state, server);
    const auto address = http_server.start(absl::StrCat(host, ":", port));
    if (!address) {
        std::cerr << address.error() << "\n";
        return 1;
    }
    stop.wait();
    state.release_silent_connections();
    return 0;
}

}  // namespace masticpass::standin
