#ifndef MASTICPASS_STORE_NAMESPACED_STORE_H
#define MASTICPASS_STORE_NAMESPACED_STORE_H

#include <string>

#include "store/configuration_store.h"

namespace masticpass {

// Adds a prefix to every key, so that masticpass can share a store with other users and watch all of its keys
// with one watch. Ownership: borrows the store, which must outlive it. Thread safety: all methods may be
// called from any thread.
class namespaced_store final : public configuration_store {
public:
    // `prefix` must not be empty.
    namespaced_store(configuration_store& store, std::string prefix)
        : store_(store), prefix_(std::move(prefix)) {}

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
    std::string full_key(std::string_view key) const { return prefix_ + std::string(key); }
    void strip(store_entry& entry) const { entry.key.erase(0, prefix_.size()); }

    configuration_store& store_;
    const std::string prefix_;
};

}  // namespace masticpass

#endif
