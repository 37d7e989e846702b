#ifndef MASTICPASS_STORE_CONFIGURATION_STORE_H
#define MASTICPASS_STORE_CONFIGURATION_STORE_H

#include <cstdint>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>
#include <tl/expected.hpp>

namespace masticpass {

// A position in the store's history of changes. Each applied write has a higher revision than all writes
// before it; 0 precedes the first write.
using store_revision = std::int64_t;

// A lease of the store. The keys that are bound to it are removed when it expires.
enum class lease_id : std::int64_t { none = 0 };

enum class store_error_kind {
    unavailable,      // The call had no effect.
    unknown_outcome,  // A write may have taken effect.
    conflict,         // The key's revision is not the expected one; the write had no effect.
    not_found,        // The key or the lease does not exist.
    too_large,        // The value exceeds the store's maximum size; the write had no effect.
};

std::string_view to_string(store_error_kind kind);

struct [[nodiscard]] store_error {
    store_error_kind kind = store_error_kind::unknown_outcome;
    std::string message = {};
};

struct store_entry {
    std::string key = {};
    std::string value = {};
    // Revision of the last write of the key.
    store_revision revision = 0;
    lease_id lease = lease_id::none;
    // Revision of the write that created the key; 0 if the store does not report it.
    store_revision created = 0;
};

// The entries of a prefix in key order.
struct store_snapshot {
    std::vector<store_entry> entries = {};
    // The store revision at which the entries were read. A watch should continue after it.
    store_revision revision = 0;
};

// A change reported by a watch. A removed entry has an empty value and the revision of its removal.
struct store_change {
    store_entry entry;
    bool removed = false;
};

struct watch_result {
    // In ascending order of revision; empty if the timeout passed without a change.
    std::vector<store_change> changes = {};
    // The revision after which the next watch should continue. Never lower than `after_revision` of the call.
    store_revision revision = 0;
    // Whether the store has discarded changes after `after_revision`. The prefix must then be read again.
    bool compacted = false;
};

// The platform's key-value store with compare-and-swap, leases and watches. A read may return older data than
// an earlier read. Every call returns within the timeout of the implementation. Reads and watches fail only
// with `unavailable`, and `read` also with `not_found`.
// Thread safety: all methods may be called from any thread.
class configuration_store {
public:
    configuration_store() = default;
    configuration_store(const configuration_store&) = delete;
    configuration_store& operator=(const configuration_store&) = delete;
    virtual ~configuration_store() = default;

    virtual tl::expected<store_entry, store_error> read(std::string_view key) = 0;

    virtual tl::expected<store_snapshot, store_error> read_prefix(std::string_view prefix) = 0;

    // Writes the value if the key's revision is `expected_revision`; 0 means that the key must not exist.
    // Returns the revision of the write. The key is bound to `lease` unless that is `none`.
    // Errors: conflict, not_found (of the lease), too_large, unavailable, unknown_outcome.
    virtual tl::expected<store_revision, store_error> compare_and_swap(std::string_view key,
                                                                       store_revision expected_revision,
                                                                       std::string_view value,
                                                                       lease_id lease) = 0;

    // Removes the key if its revision is `expected_revision`, which must not be 0.
    // Errors: conflict (also when the key does not exist), unavailable, unknown_outcome.
    virtual tl::expected<void, store_error> compare_and_remove(std::string_view key,
                                                               store_revision expected_revision) = 0;

    // Returns the changes of keys with the prefix after `after_revision`. Blocks until there is one, the
    // timeout passes or `stop` is requested; in the last two cases there are no changes.
    virtual tl::expected<watch_result, store_error> watch(std::string_view prefix,
                                                          store_revision after_revision,
                                                          absl::Duration timeout,
                                                          const std::stop_token& stop) = 0;

    // Grants a lease. `time_to_live` is rounded up to whole seconds. After `unknown_outcome` an unused lease
    // may exist until it expires.
    virtual tl::expected<lease_id, store_error> grant_lease(absl::Duration time_to_live) = 0;

    // Restarts the time to live of the lease. Errors: not_found (expired), unavailable, unknown_outcome.
    virtual tl::expected<void, store_error> renew_lease(lease_id lease) = 0;
};

}  // namespace masticpass

#endif
