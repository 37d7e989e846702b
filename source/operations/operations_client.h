#ifndef MASTICPASS_OPERATIONS_OPERATIONS_CLIENT_H
#define MASTICPASS_OPERATIONS_OPERATIONS_CLIENT_H

#include <string>

#include <absl/time/time.h>
#include <json/json.h>

#include "operations/fleet_service.h"
#include "settings/socket_address.h"

namespace masticpass {

// Client of the operations interface of an entry VM. Results are JSON values in the format of view_json.h. In
// addition to the errors of the entry VM, calls return unreachable if no connection could be opened. If no
// valid response arrives, a call that only reads returns unavailable, and a call that makes a change returns
// unknown_outcome. Thread safety: may be called from any thread; each call uses its own connection.
class operations_client {
public:
    // `timeout` limits the opening of the connection and each read and write of a call.
    operations_client(socket_address server, absl::Duration timeout);

    operations_result<Json::Value> status() const;
    operations_result<Json::Value> show_configuration() const;
    operations_result<Json::Value> propose_change(const configuration_change& change) const;
    operations_result<Json::Value> show_pool(const pool_name& pool) const;
    operations_result<Json::Value> list_entries() const;
    operations_result<Json::Value> show_wave(const wave_name& wave) const;
    operations_result<Json::Value> set_wave_state(const wave_name& wave, const std::string& state,
                                                  const std::string& author, const change_id& change) const;
    operations_result<Json::Value> drain_vm(const vm_id& vm, const std::string& author,
                                            const operation_id& operation) const;

private:
    enum class call_kind { read, write };

    operations_result<Json::Value> call(call_kind kind, const std::string& method,
                                        const Json::Value& parameters) const;

    socket_address server_;
    absl::Duration timeout_;
};

}  // namespace masticpass

#endif
