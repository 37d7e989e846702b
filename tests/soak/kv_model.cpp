#include "soak/kv_model.h"

#include <algorithm>
#include <chrono>

#include "decision/configuration/json_object_reader.h"
#include "standin/background_http_server.h"

namespace masticpass::soak {

namespace {

constexpr int status_service_unavailable = 503;
constexpr std::size_t page_size = 500;

Json::Value parse_body(const httplib::Request& request) {
    return parse_json(request.body).value_or(Json::Value(Json::objectValue));
}

}  // namespace

Json::Value kv_model::to_json(const std::string& key, const item& entry) {
    Json::Value json(Json::objectValue);
    json["key"] = key;
    json["value"] = entry.value;
    json["revision"] = Json::Int64(entry.revision);
    json["created"] = Json::Int64(entry.created);
    json["lease"] = Json::Int64(entry.lease);
    return json;
}

void kv_model::write(const std::string& key, const std::string& value, std::int64_t lease) {
    item& entry = items_[key];
    entry.created = entry.created == 0 ? revision_ : entry.created;
    entry.value = value;
    entry.revision = revision_;
    entry.lease = lease;
    events_.push_back(to_json(key, entry));
}

void kv_model::remove(const std::string& key) {
    if (items_.erase(key) == 0) {
        return;
    }
    Json::Value event(Json::objectValue);
    event["key"] = key;
    event["revision"] = Json::Int64(revision_);
    event["deleted"] = true;
    events_.push_back(event);
}

void kv_model::put(const std::string& key, const std::string& value_base64) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    write(key, value_base64, 0);
    changed_.notify_all();
}

void kv_model::end_lease(std::int64_t lease) {
    leases_.erase(lease);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        remove(key);
    }
    changed_.notify_all();
}

void kv_model::expire_leases() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expires_at < absl::Now()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        end_lease(id);
    }
}

void kv_model::respond_to_write(httplib::Response& response, int status, const Json::Value& body) {
    random_ = random_ * 1664525U + 1013904223U;
    if (static_cast<int>((random_ >> 8U) % 1000U) < faults_.lost_per_mille) {
        standin::lose_response(response);
        return;
    }
    standin::respond_json(response, status, body);
}

void kv_model::transact(const Json::Value& body, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json::Value answer(Json::objectValue);
    bool are_expectations_met = true;
    for (const Json::Value& row : body["expect"]) {
        const auto found = items_.find(row["key"].asString());
        are_expectations_met = are_expectations_met && (found == items_.end() ? 0 : found->second.revision) ==
                                                           row["revision"].asInt64();
        if (found != items_.end()) {
            answer["items"].append(to_json(found->first, found->second));
        }
    }
    if (!are_expectations_met) {
        standin::respond_json(response, 412, answer);
        return;
    }
    for (const Json::Value& row : body["writes"]) {
        if (row["lease"].asInt64() != 0 && !leases_.contains(row["lease"].asInt64())) {
            standin::respond_json(response, 404, Json::Value(Json::objectValue));
            return;
        }
    }
    ++revision_;
    for (const Json::Value& row : body["writes"]) {
        write(row["key"].asString(), row["value"].asString(), row["lease"].asInt64());
    }
    for (const Json::Value& key : body["remove"]) {
        remove(key.asString());
    }
    changed_.notify_all();
    Json::Value success(Json::objectValue);
    success["revision"] = Json::Int64(revision_);
    respond_to_write(response, 200, success);
}

void kv_model::watch(const httplib::Request& request, httplib::Response& response) {
    const std::string prefix = request.get_param_value("prefix");
    const std::int64_t after = std::stoll(request.get_param_value("after"));
    const auto wait = std::chrono::milliseconds(std::stoll(request.get_param_value("wait_ms")));
    std::unique_lock<std::mutex> lock(mutex_);
    if (faults_.is_history_compacted) {
        standin::respond_json(response, 410, Json::Value(Json::objectValue));
        return;
    }
    Json::Value answer(Json::objectValue);
    const auto collect_events = [&] {
        answer["events"] = Json::Value(Json::arrayValue);
        for (const Json::Value& event : events_) {
            if (event["revision"].asInt64() > after &&
                event["key"].asString().compare(0, prefix.size(), prefix) == 0) {
                answer["events"].append(event);
            }
        }
        return !answer["events"].empty();
    };
    changed_.wait_for(lock, wait, collect_events);
    answer["as_of"] = Json::Int64(revision_);
    standin::respond_json(response, 200, answer);
}

void kv_model::add_routes(httplib::Server& server) {
    server.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
        const bool is_store_path = request.path.rfind("/kv-", 0) == 0;
        if (is_store_path && faults_.is_down) {
            standin::respond_json(response, status_service_unavailable, Json::Value(Json::objectValue));
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server.Get("/kv-key", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = items_.find(request.get_param_value("key"));
        Json::Value answer(Json::objectValue);
        if (found != items_.end()) {
            answer = to_json(found->first, found->second);
        }
        answer["as_of"] = Json::Int64(revision_);
        standin::respond_json(response, found == items_.end() ? 404 : 200, answer);
    });
    server.Get("/kv-range", [this](const httplib::Request& request, httplib::Response& response) {
        const std::string prefix = request.get_param_value("prefix");
        const std::string after = request.get_param_value("after");
        const std::lock_guard<std::mutex> lock(mutex_);
        Json::Value answer(Json::objectValue);
        answer["items"] = Json::Value(Json::arrayValue);
        answer["truncated"] = false;
        auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
        for (; next != items_.end() && next->first.compare(0, prefix.size(), prefix) == 0; ++next) {
            if (answer["items"].size() >= page_size) {
                answer["truncated"] = true;
                break;
            }
            answer["items"].append(to_json(next->first, next->second));
        }
        answer["as_of"] = Json::Int64(revision_);
        standin::respond_json(response, 200, answer);
    });
    server.Get("/kv-watch", [this](const httplib::Request& request, httplib::Response& response) {
        watch(request, response);
    });
    server.Post("/kv-txn", [this](const httplib::Request& request, httplib::Response& response) {
        transact(parse_body(request), response);
    });
    server.Post("/kv-lease", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Duration time_to_live = absl::Milliseconds(parse_body(request)["ttl_ms"].asInt64());
        leases_[++last_lease_] = {.time_to_live = time_to_live, .expires_at = absl::Now() + time_to_live};
        Json::Value answer(Json::objectValue);
        answer["lease"] = Json::Int64(last_lease_);
        answer["ttl_ms"] = Json::Int64(absl::ToInt64Milliseconds(time_to_live));
        respond_to_write(response, 200, answer);
    });
    server.Post(R"(/kv-keep/(\d+))", [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = leases_.find(std::stoll(request.matches[1]));
        if (found != leases_.end()) {
            found->second.expires_at = absl::Now() + found->second.time_to_live;
        }
        respond_to_write(response, found == leases_.end() ? 404 : 200, Json::Value(Json::objectValue));
    });
    server.Delete(R"(/kv-lease-end/(\d+))",
                  [this](const httplib::Request& request, httplib::Response& response) {
                      const std::lock_guard<std::mutex> lock(mutex_);
                      end_lease(std::stoll(request.matches[1]));
                      respond_to_write(response, 200, Json::Value(Json::objectValue));
                  });
}

}  // namespace masticpass::soak
