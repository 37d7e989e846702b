#ifndef MASTICPASS_STANDIN_STORE_API_H
#define MASTICPASS_STANDIN_STORE_API_H

#include <functional>

#include <absl/synchronization/notification.h>
#include <httplib.h>
#include <json/json.h>

#include "standin/platform_faults.h"
#include "standin/store_state.h"

namespace masticpass::standin {

// Serves a store over the JSON gateway protocol of etcd v3, subject to the injected faults. The arguments of
// the constructor must outlive the object, which must outlive the server.
class store_api {
public:
    store_api(store_state& state, platform_fault_settings& faults, platform_counters& counters);

    void add_routes(httplib::Server& server);
    // Ends delayed calls and watches.
    void stop();

private:
    struct reply {
        int status = 200;
        Json::Value body;
    };
    using handler = std::function<reply(const Json::Value&)>;
    enum class call_kind { read, write };
    struct watch_position {
        key_range keys;
        store_revision revision = 0;
        bool is_created = false;
    };

    void add_route(httplib::Server& server, const char* path, const char* name, call_kind kind,
                   handler execute);
    // Waits for the injected delay. If the store is down or stopping, responds with an error and returns
    // false.
    bool admit(httplib::Response& response);
    bool is_unavailable() const;

    reply range(const Json::Value& request) const;
    reply transact(const Json::Value& request);
    reply grant_lease(const Json::Value& request);
    reply renew_lease(const Json::Value& request);
    void watch(const httplib::Request& request, httplib::Response& response);
    // Waits for changes and sends the next part of a watch stream. Returns false to end the connection.
    bool send_next_watch_message(watch_position& position, httplib::DataSink& sink);
    bool send_message(const Json::Value& message, httplib::DataSink& sink);

    store_state& state_;
    platform_fault_settings& faults_;
    platform_counters& counters_;
    absl::Notification stopping_;
};

}  // namespace masticpass::standin

#endif
