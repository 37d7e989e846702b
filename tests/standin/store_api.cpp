#include "standin/store_api.h"

#include <memory>
#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include "common/clock.h"
#include "standin/background_http_server.h"
#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

// gRPC status codes, which the gateway puts into its error responses.
constexpr int invalid_argument_code = 3;
constexpr int not_found_code = 5;
constexpr int unavailable_code = 14;

constexpr std::size_t maximum_request_bytes = std::size_t{3} << 19U;
// A watch without changes sends an empty line at this interval, so that a closed connection is detected.
constexpr absl::Duration watch_check_interval = absl::Seconds(1);

Json::Value error_body(int code, const std::string& text) {
    Json::Value body;
    body["error"] = text;
    body["message"] = text;
    body["code"] = code;
    return body;
}

Json::Value header(store_revision revision) {
    Json::Value header;
    header["cluster_id"] = "1";
    header["member_id"] = "1";
    header["revision"] = absl::StrCat(revision);
    header["raft_term"] = "1";
    return header;
}

Json::Value entry_body(const store_entry& entry) {
    Json::Value body;
    body["key"] = absl::Base64Escape(entry.key);
    body["mod_revision"] = absl::StrCat(entry.revision);
    if (!entry.value.empty()) {
        body["value"] = absl::Base64Escape(entry.value);
    }
    if (entry.lease != lease_id::none) {
        body["lease"] = absl::StrCat(static_cast<std::int64_t>(entry.lease));
    }
    return body;
}

key_range parse_range(const Json::Value& request) {
    return {.begin = etcd::bytes_member(request, "key"), .end = etcd::bytes_member(request, "range_end")};
}

transaction parse_transaction(const Json::Value& request) {
    transaction result;
    for (const Json::Value& compare : etcd::nested_member(request, "compare")) {
        result.comparisons.push_back({.key = etcd::bytes_member(compare, "key"),
                                      .revision = etcd::integer_member(compare, "mod_revision")});
    }
    for (const Json::Value& operation : etcd::nested_member(request, "success")) {
        if (operation.isMember("request_put")) {
            const Json::Value& put = operation["request_put"];
            result.operations.push_back({.key = etcd::bytes_member(put, "key"),
                                         .value = etcd::bytes_member(put, "value"),
                                         .lease = static_cast<lease_id>(etcd::integer_member(put, "lease"))});
        } else if (operation.isMember("request_delete_range")) {
            const Json::Value& removal = operation["request_delete_range"];
            result.operations.push_back({.key = etcd::bytes_member(removal, "key"), .value = std::nullopt});
        }
    }
    return result;
}

Json::Value watch_message(const watch_result& changes, store_revision revision) {
    Json::Value message;
    Json::Value& result = message["result"];
    result["header"] = header(revision);
    for (const store_change& change : changes.changes) {
        Json::Value event;
        if (change.removed) {
            event["type"] = "DELETE";
        }
        event["kv"] = entry_body(change.entry);
        result["events"].append(std::move(event));
    }
    return message;
}

}  // namespace

store_api::store_api(store_state& state, platform_fault_settings& faults, platform_counters& counters)
    : state_(state), faults_(faults), counters_(counters) {}

void store_api::add_routes(httplib::Server& server) {
    add_route(server, "/v3/kv/range", "read", call_kind::read,
              [this](const Json::Value& request) { return range(request); });
    add_route(server, "/v3/kv/txn", "write", call_kind::write,
              [this](const Json::Value& request) { return transact(request); });
    add_route(server, "/v3/lease/grant", "lease_grant", call_kind::write,
              [this](const Json::Value& request) { return grant_lease(request); });
    add_route(server, "/v3/lease/keepalive", "lease_renew", call_kind::read,
              [this](const Json::Value& request) { return renew_lease(request); });
    server.Post("/v3/watch", [this](const httplib::Request& request, httplib::Response& response) {
        watch(request, response);
    });
}

void store_api::stop() {
    stopping_.Notify();
    state_.wake();
}

bool store_api::is_unavailable() const {
    return stopping_.HasBeenNotified() || faults_.current().store_down;
}

bool store_api::admit(httplib::Response& response) {
    stopping_.WaitForNotificationWithTimeout(faults_.current().slow);
    if (is_unavailable()) {
        respond_json(response, 503, error_body(unavailable_code, "etcdserver: no leader"));
        return false;
    }
    return true;
}

void store_api::add_route(httplib::Server& server, const char* path, const char* name, call_kind kind,
                          handler execute) {
    server.Post(path, [this, name, kind, execute = std::move(execute)](const httplib::Request& request,
                                                                       httplib::Response& response) {
        counters_.add_call(name, request.body.size());
        if (!admit(response)) {
            return;
        }
        const auto message = etcd::parse_object(request.body);
        if (!message) {
            respond_json(response, 400, error_body(invalid_argument_code, message.error()));
            return;
        }
        const reply result = execute(*message);
        respond_json(response, result.status, result.body);
        counters_.add_bytes_sent(name, response.body.size());
        if (kind == call_kind::write && faults_.consume_lost_write_response()) {
            lose_response(response);
        }
    });
}

store_api::reply store_api::range(const Json::Value& request) const {
    const store_snapshot snapshot = state_.range(parse_range(request));
    reply result;
    result.body["header"] = header(snapshot.revision);
    for (const store_entry& entry : snapshot.entries) {
        result.body["kvs"].append(entry_body(entry));
    }
    if (!snapshot.entries.empty()) {
        result.body["count"] = absl::StrCat(snapshot.entries.size());
    }
    return result;
}

store_api::reply store_api::transact(const Json::Value& request) {
    const transaction parsed = parse_transaction(request);
    std::size_t bytes = 0;
    for (const auto& operation : parsed.operations) {
        bytes += operation.key.size() + (operation.value ? operation.value->size() : 0);
    }
    if (bytes > maximum_request_bytes) {
        return {400, error_body(invalid_argument_code, "etcdserver: request is too large")};
    }
    const transaction_result outcome = state_.transact(parsed);
    if (outcome.lease_missing) {
        return {404, error_body(not_found_code, "etcdserver: requested lease not found")};
    }
    reply result;
    result.body["header"] = header(outcome.revision);
    if (outcome.succeeded) {
        result.body["succeeded"] = true;
    }
    return result;
}

store_api::reply store_api::grant_lease(const Json::Value& request) {
    const std::int64_t seconds = etcd::integer_member(request, "TTL");
    const lease_id lease = state_.grant_lease(absl::Seconds(seconds), monotonic_clock().now());
    reply result;
    result.body["header"] = header(state_.revision());
    result.body["ID"] = absl::StrCat(static_cast<std::int64_t>(lease));
    result.body["TTL"] = absl::StrCat(seconds);
    return result;
}

store_api::reply store_api::renew_lease(const Json::Value& request) {
    const auto lease = static_cast<lease_id>(etcd::integer_member(request, "ID"));
    const auto time_to_live = state_.renew_lease(lease, monotonic_clock().now());
    reply result;
    result.body["result"]["header"] = header(state_.revision());
    result.body["result"]["ID"] = absl::StrCat(static_cast<std::int64_t>(lease));
    if (time_to_live) {
        result.body["result"]["TTL"] = absl::StrCat(absl::ToInt64Seconds(*time_to_live));
    }
    return result;
}

void store_api::watch(const httplib::Request& request, httplib::Response& response) {
    counters_.add_call("watch", request.body.size());
    if (!admit(response)) {
        return;
    }
    const auto message = etcd::parse_object(request.body);
    const Json::Value& create =
        message ? etcd::nested_member(*message, "create_request") : Json::Value::nullSingleton();
    if (!create.isObject()) {
        respond_json(response, 400, error_body(invalid_argument_code, "the request has no create_request"));
        return;
    }
    const store_revision start = etcd::integer_member(create, "start_revision");
    const auto position = std::make_shared<watch_position>(
        watch_position{.keys = parse_range(create), .revision = start > 0 ? start - 1 : state_.revision()});
    response.set_chunked_content_provider("application/json",
                                          [this, position](std::size_t, httplib::DataSink& sink) {
                                              return send_next_watch_message(*position, sink);
                                          });
}

bool store_api::send_message(const Json::Value& message, httplib::DataSink& sink) {
    const std::string line = etcd::to_text(message) + "\n";
    counters_.add_bytes_sent("watch", line.size());
    return sink.write(line.data(), line.size());
}

bool store_api::send_next_watch_message(watch_position& position, httplib::DataSink& sink) {
    if (!position.is_created) {
        position.is_created = true;
        Json::Value created = watch_message({}, state_.revision());
        created["result"]["created"] = true;
        return send_message(created, sink);
    }
    const watch_result result = state_.wait_for_changes(
        position.keys, position.revision, watch_check_interval, [this] { return is_unavailable(); });
    if (is_unavailable()) {
        return false;
    }
    if (result.compacted) {
        Json::Value canceled = watch_message({}, state_.revision());
        canceled["result"]["canceled"] = true;
        canceled["result"]["compact_revision"] = absl::StrCat(state_.revision());
        const bool is_sent = send_message(canceled, sink);
        sink.done();
        return is_sent;
    }
    if (result.changes.empty()) {
        return sink.write("\n", 1);
    }
    position.revision = result.revision;
    return send_message(watch_message(result, state_.revision()), sink);
}

}  // namespace masticpass::standin
