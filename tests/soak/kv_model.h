#ifndef MASTICPASS_SOAK_KV_MODEL_H
#define MASTICPASS_SOAK_KV_MODEL_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <httplib.h>
#include <json/json.h>

namespace masticpass::soak {

// Model of the metadata store of the users' platform: keys with revisions, transactions, leases and watches,
// served over HTTP. Values are kept as they are sent, in base64. Thread safety: all methods may be called
// from any thread.
class kv_model {
public:
    // Injected faults. Each value holds until it is changed.
    struct faults {
        // Every call gets the status 503. Leases still expire.
        std::atomic<bool> is_down = false;
        // Number of responses to writes, per thousand, that are lost after the write took effect.
        std::atomic<int> lost_per_mille = 0;
        // Watches get the response that the history was compacted.
        std::atomic<bool> is_history_compacted = false;
    };

    faults& injected_faults() { return faults_; }
    void add_routes(httplib::Server& server);
    // Writes a key unconditionally, as the platform's own programs do. Not subject to the faults.
    void put(const std::string& key, const std::string& value_base64);
    // Ends the leases that have expired and removes their keys.
    void expire_leases();

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease_state {
        absl::Duration time_to_live;
        absl::Time expires_at;
    };

    static Json::Value to_json(const std::string& key, const item& entry);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void remove(const std::string& key);
    void end_lease(std::int64_t lease);
    void transact(const Json::Value& body, httplib::Response& response);
    void watch(const httplib::Request& request, httplib::Response& response);
    // Responds to a write, unless an injected fault loses the response.
    void respond_to_write(httplib::Response& response, int status, const Json::Value& body);

    faults faults_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
    std::map<std::string, item> items_;
    std::map<std::int64_t, lease_state> leases_;
    std::vector<Json::Value> events_;
    std::uint32_t random_ = 1;
};

}  // namespace masticpass::soak

#endif
