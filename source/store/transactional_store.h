#ifndef MASTICPASS_STORE_TRANSACTIONAL_STORE_H
#define MASTICPASS_STORE_TRANSACTIONAL_STORE_H

#include <cstddef>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "store/configuration_store.h"

namespace masticpass {

// A condition of a transaction: the key's last write has this revision. 0 means that the key must not exist.
struct store_expectation {
    std::string key = {};
    store_revision revision = 0;
};

struct store_write {
    std::string key = {};
    std::string value = {};
    lease_id lease = lease_id::none;
};

// Writes and removals that take effect together if every expectation holds, and not at all otherwise.
struct store_transaction {
    std::vector<store_expectation> expectations = {};
    std::vector<store_write> writes = {};
    std::vector<std::string> removals = {};

    std::size_t entry_count() const { return expectations.size() + writes.size() + removals.size(); }
};

struct [[nodiscard]] transaction_error {
    store_error error;
    // After a conflict, the current entries of the keys of the expectations. Keys that do not exist are
    // missing.
    std::vector<store_entry> current_entries = {};
};

// A store that can change several keys in one transaction.
// Thread safety: all methods may be called from any thread.
class transactional_store : public configuration_store {
public:
    // Maximum number of expectations, writes and removals of a transaction together.
    static constexpr std::size_t maximum_entries = 32;

    // Applies the transaction and returns its revision. Precondition: it has at most `maximum_entries`
    // entries.
    // Errors: conflict, not_found (of a lease), too_large, unavailable, unknown_outcome.
    virtual tl::expected<store_revision, transaction_error> transact(const store_transaction& change) = 0;

    // Revokes a lease and removes its keys. Succeeds if the lease has already expired or been revoked.
    // Errors: unavailable, unknown_outcome.
    virtual tl::expected<void, store_error> revoke_lease(lease_id lease) = 0;
};

}  // namespace masticpass

#endif
