// A stand-in of the platform's metadata store.
#pragma once

#include <condition_variable>
#include <map>
#include <optional>
#include <vector>

#include "common.hpp"

namespace review {

// The platform's metadata store. `serve` adds its calls to a server; each entry VM has a server of its own, so
// that the store knows which of them called.
class store {
public:
    static constexpr std::int64_t answer_ms = 4;
    static constexpr std::size_t value_bytes = 1048576;
    // The store may discard its history sooner than `history_s`.
    static constexpr std::int64_t history_ms = 5000;

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        write_item(key, encode_base64(value), 0);
        changed_.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        remove_item(key);
        changed_.notify_all();
    }
    void expire_leases() {
        const std::lock_guard<std::mutex> lock(mutex_);
        while (!events_.empty() && events_.begin()->second.front().at_ms < now_ms() - history_ms) {
            discarded_upto_ = events_.begin()->first;
            events_.erase(events_.begin());
        }
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : leases_) {
            if (lease.ends_ms < now_ms()) {
                ended.push_back(id);
            }
        }
        for (const std::int64_t id : ended) {
            end_lease(id);
        }
    }
    // Number of transactions that were refused because a value was larger than `value_bytes`.
    std::int64_t refused_values() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return refused_values_;
    }
    std::size_t largest_value() {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t largest = 0;
        for (const auto& [key, entry] : items_) {
            largest = std::max(largest, entry.value->size() / 4 * 3);
        }
        return largest;
    }
    // The entry VM that last renewed a lease.
    int last_renewer() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_renewer_;
    }

    void serve(httplib::Server& http, int entry) {
        // The store's usual time for an answer.
        http.set_pre_routing_handler([](const httplib::Request& request, httplib::Response&) {
            if (request.path.rfind("/kv-", 0) == 0) {
                sleep_ms(answer_ms);
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
        http.Get("/kv-key", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = items_.find(request.get_param_value("key"));
            Json::Value body = found == items_.end() ? Json::Value(Json::objectValue) : to_json(found->first, found->second);
            body["as_of"] = Json::Int64(revision_);
            respond(response, found == items_.end() ? 404 : 200, body);
        });
        http.Get("/kv-range", [this](const httplib::Request& request, httplib::Response& response) {
            const std::string prefix = request.get_param_value("prefix");
            const std::string after = request.get_param_value("after");
            const std::lock_guard<std::mutex> lock(mutex_);
            Json::Value body;
            body["items"] = Json::Value(Json::arrayValue);
            body["truncated"] = false;
            auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
            for (; next != items_.end() && next->first.compare(0, prefix.size(), prefix) == 0; ++next) {
                if (body["items"].size() >= 500) {
                    body["truncated"] = true;
                    break;
                }
                body["items"].append(to_json(next->first, next->second));
            }
            body["as_of"] = Json::Int64(revision_);
            respond(response, 200, body);
        });
        http.Get("/kv-watch", [this](const httplib::Request& request, httplib::Response& response) {
            const std::string prefix = request.get_param_value("prefix");
            const std::int64_t after = std::stoll(request.get_param_value("after"));
            const auto wait = std::chrono::milliseconds(std::stoll(request.get_param_value("wait_ms")));
            std::unique_lock<std::mutex> lock(mutex_);
            if (after < discarded_upto_) {
                respond(response, 410, Json::Value(Json::objectValue));
                return;
            }
            Json::Value body;
            changed_.wait_for(lock, wait, [&] {
                body["events"] = Json::Value(Json::arrayValue);
                for (auto changes = events_.upper_bound(after); changes != events_.end(); ++changes) {
                    for (const event& change : changes->second) {
                        if (change.key.compare(0, prefix.size(), prefix) == 0) {
                            body["events"].append(to_json(change, changes->first));
                        }
                    }
                }
                return !body["events"].empty();
            });
            body["as_of"] = Json::Int64(revision_);
            respond(response, 200, body);
        });
        http.Post("/kv-txn", [this](const httplib::Request& request, httplib::Response& response) {
            const Json::Value body = parse(request.body);
            const std::lock_guard<std::mutex> lock(mutex_);
            transact(body, response);
        });
        http.Post("/kv-lease", [this](const httplib::Request& request, httplib::Response& response) {
            const std::int64_t ttl = std::max<std::int64_t>(1000, parse(request.body)["ttl_ms"].asInt64());
            const std::lock_guard<std::mutex> lock(mutex_);
            leases_[++last_lease_] = {ttl, now_ms() + ttl};
            Json::Value body;
            body["lease"] = Json::Int64(last_lease_);
            body["ttl_ms"] = Json::Int64(ttl);
            respond(response, 200, body);
        });
        http.Post(R"(/kv-keep/(\d+))", [this, entry](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = leases_.find(std::stoll(request.matches[1]));
            if (found == leases_.end()) {
                respond(response, 404, Json::Value(Json::objectValue));
                return;
            }
            found->second.ends_ms = now_ms() + found->second.ttl_ms;
            last_renewer_ = entry;
            respond(response, 200, Json::Value(Json::objectValue));
        });
        http.Delete(R"(/kv-lease-end/(\d+))", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const std::int64_t id = std::stoll(request.matches[1]);
            const bool exists = leases_.contains(id);
            if (exists) {
                end_lease(id);
            }
            respond(response, exists ? 200 : 404, Json::Value(Json::objectValue));
        });
    }

private:
    struct item {
        std::shared_ptr<const std::string> value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    // A change of a key; without an item it is the removal of the key.
    struct event {
        std::string key;
        std::optional<item> written;
        std::int64_t at_ms = 0;
    };
    struct lease_state {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_ms = 0;
    };

    static Json::Value to_json(const std::string& key, const item& entry) {
        Json::Value row;
        row["key"] = key;
        row["value"] = *entry.value;
        row["revision"] = Json::Int64(entry.revision);
        row["created"] = Json::Int64(entry.created);
        row["lease"] = Json::Int64(entry.lease);
        return row;
    }
    static Json::Value to_json(const event& change, std::int64_t revision) {
        if (change.written) {
            return to_json(change.key, *change.written);
        }
        Json::Value row;
        row["key"] = change.key;
        row["revision"] = Json::Int64(revision);
        row["deleted"] = true;
        return row;
    }
    void write_item(const std::string& key, const std::string& value, std::int64_t lease) {
        item& entry = items_[key];
        entry.created = entry.created == 0 ? revision_ : entry.created;
        entry.value = std::make_shared<const std::string>(value);
        entry.revision = revision_;
        entry.lease = lease;
        events_[revision_].push_back({key, entry, now_ms()});
    }
    void remove_item(const std::string& key) {
        if (items_.erase(key) > 0) {
            events_[revision_].push_back({key, std::nullopt, now_ms()});
        }
    }
    void end_lease(std::int64_t id) {
        leases_.erase(id);
        ++revision_;
        std::vector<std::string> keys;
        for (const auto& [key, entry] : items_) {
            if (entry.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove_item(key);
        }
        changed_.notify_all();
    }
    void transact(const Json::Value& body, httplib::Response& response) {
        Json::Value conflict;
        conflict["items"] = Json::Value(Json::arrayValue);
        bool holds = true;
        for (const Json::Value& row : body["expect"]) {
            const auto found = items_.find(row["key"].asString());
            holds = holds && (found == items_.end() ? 0 : found->second.revision) == row["revision"].asInt64();
            if (found != items_.end()) {
                conflict["items"].append(to_json(found->first, found->second));
            }
        }
        if (!holds) {
            respond(response, 412, conflict);
            return;
        }
        for (const Json::Value& row : body["writes"]) {
            if (row["value"].asString().size() / 4 * 3 > value_bytes) {
                ++refused_values_;
                respond(response, 413, Json::Value(Json::objectValue));
                return;
            }
        }
        for (const Json::Value& row : body["writes"]) {
            if (row["lease"].asInt64() != 0 && !leases_.contains(row["lease"].asInt64())) {
                respond(response, 404, Json::Value(Json::objectValue));
                return;
            }
        }
        ++revision_;
        for (const Json::Value& row : body["writes"]) {
            write_item(row["key"].asString(), row["value"].asString(), row["lease"].asInt64());
        }
        for (const Json::Value& key : body["remove"]) {
            remove_item(key.asString());
        }
        changed_.notify_all();
        Json::Value success;
        success["revision"] = Json::Int64(revision_);
        respond(response, 200, success);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
    int last_renewer_ = -1;
    std::map<std::string, item> items_;
    std::map<std::int64_t, std::vector<event>> events_;
    std::int64_t discarded_upto_ = 0;
    std::int64_t refused_values_ = 0;
    std::map<std::int64_t, lease_state> leases_;
};

}  // namespace review
