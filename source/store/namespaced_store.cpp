#include "store/namespaced_store.h"

namespace masticpass {

tl::expected<store_entry, store_error> namespaced_store::read(std::string_view key) {
    auto entry = store_.read(full_key(key));
    if (entry) {
        strip(*entry);
    }
    return entry;
}

tl::expected<store_snapshot, store_error> namespaced_store::read_prefix(std::string_view prefix) {
    auto snapshot = store_.read_prefix(full_key(prefix));
    if (snapshot) {
        for (store_entry& entry : snapshot->entries) {
            strip(entry);
        }
    }
    return snapshot;
}

tl::expected<store_revision, store_error> namespaced_store::compare_and_swap(std::string_view key,
                                                                             store_revision expected_revision,
                                                                             std::string_view value,
                                                                             lease_id lease) {
    return store_.compare_and_swap(full_key(key), expected_revision, value, lease);
}

tl::expected<void, store_error> namespaced_store::compare_and_remove(std::string_view key,
                                                                     store_revision expected_revision) {
    return store_.compare_and_remove(full_key(key), expected_revision);
}

tl::expected<watch_result, store_error> namespaced_store::watch(std::string_view prefix,
                                                                store_revision after_revision,
                                                                absl::Duration timeout,
                                                                const std::stop_token& stop) {
    auto result = store_.watch(full_key(prefix), after_revision, timeout, stop);
    if (result) {
        for (store_change& change : result->changes) {
            strip(change.entry);
        }
    }
    return result;
}

tl::expected<lease_id, store_error> namespaced_store::grant_lease(absl::Duration time_to_live) {
    return store_.grant_lease(time_to_live);
}

tl::expected<void, store_error> namespaced_store::renew_lease(lease_id lease) {
    return store_.renew_lease(lease);
}

}  // namespace masticpass
