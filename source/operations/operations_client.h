#ifndef MASTICPASS_OPERATIONS_OPERATIONS_CLIENT_H
#define MASTICPASS_OPERATIONS_OPERATIONS_CLIENT_H

#include <string>

#include <absl/time/time.h>
#include <json/json.h>

#include "operations/fleet_service.h"
#include "settings/socket_address.h"

namespace masticpass {

// Calls the operators' interface of one entry VM. Results are the JSON values that view_json.h describes.
// Errors beyond those of the entry VM: unreachable if no connection came about; if no valid answer came back,
// unavailable for a call that only reads and unknown_outcome for one that changes something.
// Thread safety: may be called from any thread; each call has its own connection.
class operations_client {
public:
    // `timeout` bounds the connecting and each read and write of a call.
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
