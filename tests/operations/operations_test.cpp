#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/sample.h"
#include "http/client.h"
#include "operations/fake_fleet_service.h"
#include "operations/operations_client.h"
#include "operations/operations_server.h"

namespace masticpass {

namespace {

struct running_server {
    running_server() : server(operations_server::create("127.0.0.1", 0, service).value()) { server->start(); }

    operations_client client() const { return {{"127.0.0.1", server->port()}, absl::Seconds(10)}; }

    // Sends the body unchanged and returns the response.
    Json::Value send(const std::string& body) const {
        const auto http = create_http_client("127.0.0.1", server->port(), {});
        const auto response = http->Post("/rpc", body, "application/json");
        REQUIRE(response);
        return parse_json(response->body).value();
    }

    fake_fleet_service service{small_record()};
    std::unique_ptr<operations_server> server;
};

std::string call_text(const std::string& method, const std::string& parameters) {
    return R"({"jsonrpc":"2.0","id":1,"method":")" + method + R"(","params":)" + parameters + "}";
}

operations_error_code error_of(const operations_result<Json::Value>& result) {
    REQUIRE_FALSE(result.has_value());
    return result.error().code;
}

}  // namespace

TEST_CASE("each method reaches the service and returns its result") {
    const running_server running;
    const operations_client client = running.client();
    CHECK(client.status().value()["entry"] == "entry-a1");
    CHECK(client.show_configuration().value()["revision"] == 1);
    CHECK(client.show_configuration().value()["sections"]["team/dye"]["quota_vms"] == 20);
    CHECK(client.propose_change(quota_change("a", 1, "dye", 30)).value()["revision"] == 2);
    CHECK(client.propose_change(quota_change("a", 1, "dye", 30)).value()["repeated"] == true);
    const Json::Value pool = client.show_pool(pool_name("weaving")).value();
    CHECK(pool["vms"][0]["phase"] == "acting");
    CHECK(pool["vms"][0]["since"] == "1970-01-01T00:00:00Z");
    CHECK(client.list_entries().value()[0]["heartbeat_age_ms"] == 1500);
    CHECK(client.show_wave(wave_name("spring")).value()["never_returned"][0] == "vm-9");
    CHECK(client.drain_vm(vm_id("vm-1"), "ines", operation_id("d")).value()["phase"] == "reserved");
}

// Guards against invalid calls that take effect or get no reason.
TEST_CASE("invalid calls get an error code and a message and have no effect") {
    running_server running;
    const std::vector<std::pair<std::string, int>> calls = {
        {"", -32700},
        {"{", -32700},
        // Nested so deeply that the library's parser throws.
        {std::string(5000, '['), -32700},
        {"[]", -32600},
        {R"({"jsonrpc":"2.0","id":1})", -32600},
        {R"({"jsonrpc":"2.0","method":"drain_vm","params":{"vm":"a","author":"b","operation":"c"}})", -32604},
        {call_text("reboot", "{}"), -32601},
        {call_text("drain_vm", "{}"), -32602},
        {call_text("drain_vm", R"({"vm":1,"author":"b","operation":"c"})"), -32602},
        {call_text("drain_vm", R"({"vm":"a/b","author":"b","operation":"c"})"), 1001},
        {call_text("drain_vm", R"({"vm":"a","author":"","operation":"c"})"), 1001},
        {call_text("propose_change", R"({"change":{}})"), 1001},
        {call_text("propose_change", R"({"change":{"change":"a","author":"b","base_revision":1,"add":{}}})"),
         1001},
        {call_text("set_wave_state", R"({"wave":"spring","state":"off","author":"b","change":"c"})"), 1001},
        {call_text("set_wave_state", R"({"wave":"autumn","state":"paused","author":"b","change":"c"})"),
         1002},
    };
    for (const auto& call : calls) {
        CAPTURE(call.first);
        const Json::Value response = running.send(call.first);
        CHECK(response["error"]["code"] == call.second);
        CHECK_FALSE(response["error"]["message"].asString().empty());
    }
    CHECK(running.service.change_calls == 0);
    CHECK(running.service.drain_calls == 0);
}

// Guards against losing the reasons for a refusal on the way to the operator.
TEST_CASE("a conflict names section, author and revision") {
    const running_server running;
    const operations_client client = running.client();
    REQUIRE(client.propose_change(quota_change("a", 1, "dye", 30)).has_value());
    const auto result = client.propose_change(quota_change("b", 1, "dye", 31));
    CHECK(error_of(result) == operations_error_code::conflict);
    REQUIRE(result.error().conflicts.size() == 1);
    CHECK(to_string(result.error().conflicts[0].section) == "team/dye");
    CHECK(result.error().conflicts[0].author == "ines");
    CHECK(result.error().conflicts[0].revision == 2);
    const auto invalid = client.propose_change(quota_change("c", 2, "dye", 0));
    CHECK(error_of(invalid) == operations_error_code::invalid);
    CHECK(invalid.error().problems.at(0).path == "team/dye.quota_vms");
}

TEST_CASE("each error code of the service reaches the client") {
    running_server running;
    for (const auto code :
         {operations_error_code::invalid, operations_error_code::not_found, operations_error_code::conflict,
          operations_error_code::unavailable, operations_error_code::unknown_outcome,
          operations_error_code::budget_exhausted}) {
        running.service.failure = operations_error{.code = code, .message = "reason"};
        const auto result = running.client().drain_vm(vm_id("vm-1"), "ines", operation_id("d"));
        CHECK(error_of(result) == code);
        CHECK(result.error().message.find("reason") != std::string::npos);
    }
}

// Guards against an exception in one call that ends the server or whose text is revealed to the caller.
TEST_CASE("an exception of the service is an internal error") {
    running_server running;
    running.service.status_throws = true;
    const auto result = running.client().status();
    CHECK(error_of(result) == operations_error_code::internal);
    CHECK(result.error().message.find("broken") == std::string::npos);
    running.service.status_throws = false;
    CHECK(running.client().status().has_value());
}

// Guards against two changes for a wave that is paused twice, and against resuming a cancelled wave.
TEST_CASE("wave calls are configuration changes") {
    running_server running;
    const operations_client client = running.client();
    const wave_name spring("spring");
    CHECK(client.set_wave_state(spring, "paused", "ines", change_id("p")).value()["revision"] == 2);
    CHECK(running.service.record().configuration.waves.at(spring).state == declared_wave_state::paused);
    CHECK(running.service.record().configuration.waves.at(spring).pools.size() == 2);
    CHECK(client.set_wave_state(spring, "paused", "ines", change_id("p")).value()["repeated"] == true);
    CHECK(client.set_wave_state(spring, "running", "ines", change_id("r")).value()["revision"] == 3);
    CHECK(client.set_wave_state(spring, "cancelled", "ines", change_id("c")).value()["revision"] == 4);
    CHECK(error_of(client.set_wave_state(spring, "running", "ines", change_id("s"))) ==
          operations_error_code::invalid);
    CHECK(running.service.record().revision == 4);
}

// Guards against reporting a change as not applied although it may have been, and the reverse.
TEST_CASE("the client distinguishes a call that was not sent from one without a response") {
    const auto server = http_server::create("127.0.0.1", 0, {}).value();
    const operations_client client({"127.0.0.1", server->port()}, absl::Milliseconds(100));
    // The server accepts connections but has not started to handle requests.
    CHECK(error_of(client.status()) == operations_error_code::unavailable);
    CHECK(error_of(client.propose_change(quota_change("a", 1, "dye", 30))) ==
          operations_error_code::unknown_outcome);
    const std::uint16_t port = server->port();
    server->stop();
    const operations_client unconnected({"127.0.0.1", port}, absl::Milliseconds(100));
    CHECK(error_of(unconnected.propose_change(quota_change("a", 1, "dye", 30))) ==
          operations_error_code::unreachable);
}

// Guards against an unknown outcome for a call that timed out while connecting.
TEST_CASE("a call that cannot connect in time was not sent") {
    const auto server = http_server::create("127.0.0.1", 0, {.listen_backlog = 0}).value();
    const operations_client client({"127.0.0.1", server->port()}, absl::Milliseconds(100));
    // The first calls fill the listen backlog.
    for (int call = 0; call < 4; ++call) {
        CHECK_FALSE(client.status().has_value());
    }
    CHECK(error_of(client.drain_vm(vm_id("vm-1"), "ines", operation_id("d"))) ==
          operations_error_code::unreachable);
}

TEST_CASE("a response that is not valid JSON-RPC leaves the outcome unknown") {
    const auto server = http_server::create("127.0.0.1", 0, {}).value();
    std::string body;
    server->routes().Post("/rpc", [&](const httplib::Request&, httplib::Response& response) {
        response.set_content(body, "application/json");
    });
    server->start();
    const operations_client client({"127.0.0.1", server->port()}, absl::Seconds(10));
    for (const char* text : {"", "ok", "{}", "[]", R"({"jsonrpc":"2.0","id":1})"}) {
        CAPTURE(text);
        body = text;
        CHECK(error_of(client.drain_vm(vm_id("vm-1"), "ines", operation_id("d"))) ==
              operations_error_code::unknown_outcome);
    }
}

}  // namespace masticpass
