#ifndef MASTICPASS_STORE_ETCD_GATEWAY_STORE_H
#define MASTICPASS_STORE_ETCD_GATEWAY_STORE_H

#include <string>

#include <json/json.h>

#include "http/pooled_http_client.h"
#include "store/configuration_store.h"

namespace masticpass {

// Adapter to a store that serves the etcd v3 JSON gateway protocol.
// Thread safety: all methods may be called from any thread.
class etcd_gateway_store final : public configuration_store {
public:
    // Maximum size of a value that the store accepts.
    static constexpr std::size_t maximum_value_bytes = std::size_t{1} << 20U;

    // `address` is the IP address and port of the gateway.
    explicit etcd_gateway_store(std::string address, const http_connection_limits& limits = {});

    tl::expected<store_entry, store_error> read(std::string_view key) override;
    tl::expected<store_snapshot, store_error> read_prefix(std::string_view prefix) override;
    tl::expected<store_revision, store_error> compare_and_swap(std::string_view key,
                                                               store_revision expected_revision,
                                                               std::string_view value,
                                                               lease_id lease) override;
    tl::expected<void, store_error> compare_and_remove(std::string_view key,
                                                       store_revision expected_revision) override;
    tl::expected<watch_result, store_error> watch(std::string_view prefix, store_revision after_revision,
                                                  absl::Duration timeout,
                                                  const std::stop_token& stop) override;
    tl::expected<lease_id, store_error> grant_lease(absl::Duration time_to_live) override;
    tl::expected<void, store_error> renew_lease(lease_id lease) override;

private:
    enum class call_kind { read, write };

    // Calls the gateway and returns the response message.
    tl::expected<Json::Value, store_error> call(const char* path, std::string request, call_kind kind);
    // Runs a conditional transaction and returns its revision.
    tl::expected<store_revision, store_error> transact(std::string request, store_revision expected_revision);

    pooled_http_client client_;
};

}  // namespace masticpass

#endif
