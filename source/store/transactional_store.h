#ifndef MASTICPASS_STORE_TRANSACTIONAL_STORE_H
#define MASTICPASS_STORE_TRANSACTIONAL_STORE_H

#include <cstddef>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "store/configuration_store.h"

namespace masticpass {

// A key and the revision of its last write; 0 means that the key must not exist.
struct store_expectation {
    std::string key = {};
    store_revision revision = 0;
};

struct store_write {
    std::string key = {};
    std::string value = {};
    lease_id lease = lease_id::none;
};

// Takes effect as a whole if every expectation holds, and otherwise not at all.
struct store_transaction {
    std::vector<store_expectation> expectations = {};
    std::vector<store_write> writes = {};
    std::vector<std::string> removals = {};

    std::size_t entry_count() const { return expectations.size() + writes.size() + removals.size(); }
};

struct [[nodiscard]] transaction_error {
    store_error error;
    // After a conflict: the present entries of the expected keys that exist.
    std::vector<store_entry> current_entries = {};
};

// A store that changes several keys at once.
// Thread safety: all methods may be called from any thread.
class transactional_store : public configuration_store {
public:
    // A transaction has at most this many expectations, writes and removals together.
    static constexpr std::size_t maximum_entries = 32;

    // Precondition: at most `maximum_entries` entries. Returns the revision of the change.
    // Errors: conflict, not_found (a lease), too_large, unavailable, unknown_outcome.
    virtual tl::expected<store_revision, transaction_error> transact(const store_transaction& change) = 0;

    // Ends a lease, which removes its keys. Errors: unavailable, unknown_outcome. A lease that has ended
    // already is no error.
    virtual tl::expected<void, store_error> revoke_lease(lease_id lease) = 0;
};

}  // namespace masticpass

#endif
