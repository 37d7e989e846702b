#ifndef MASTICPASS_DECISION_SERVING_IDENTITY_REGISTRY_H
#define MASTICPASS_DECISION_SERVING_IDENTITY_REGISTRY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "common/identifier.h"
#include "common/verdict.h"
#include "decision/serving/request_identity.h"
#include "decision/serving/response_cache.h"

namespace masticpass {

struct identity_registry_options {
    absl::Duration lifetime = absl::Minutes(15);
    std::size_t maximum_cache_bytes = std::size_t{8} << 20U;
    // Maximum number of identities issued in one call, which bounds the size of the response to the call.
    std::uint64_t maximum_issue_count = 10'000;
    // Bounds the memory use of the registry; 8 million identities take 2 MB.
    std::uint64_t maximum_live_identities = 8'000'000;
};

enum class identity_begin_decision {
    // The caller may run the request, and must call finish or revert afterwards.
    may_run,
    in_progress,
    finished,
    // This incarnation never issued the identity, so the request did not run.
    unknown,
    // The identity has expired and its state is deleted, so the request may have run.
    expired,
    // The identity belongs to another incarnation, to which the request has to be forwarded.
    other_issuer,
};

struct [[nodiscard]] identity_begin_result {
    identity_begin_decision decision = identity_begin_decision::expired;
    // Set only if `decision` is `finished` and the response is still cached.
    std::shared_ptr<const stored_response> response = nullptr;
};

enum class identity_error { not_in_progress, unknown, expired, other_issuer };

// The state of an incarnation's identities in the form that is transferred to another entry VM. Times are
// given as ages, since the monotonic clocks of two machines cannot be compared.
struct identity_transfer {
    struct part {
        std::uint64_t first = 0;
        std::uint64_t count = 0;
        absl::Duration age;
        // Two bits per identity.
        std::vector<std::uint8_t> states;
    };

    incarnation_id issuer;
    std::uint64_t next_sequence = 1;
    std::vector<part> parts;
};

// Issues request identities and ensures that the request of each identity runs at most once. It stores two
// bits per identity until the identity expires, and caches responses up to a limit in bytes. Thread safety:
// none; the caller holds a lock. `now` must not decrease between calls.
class identity_registry {
public:
    explicit identity_registry(incarnation_id self, identity_registry_options options = {});

    // Issues `count` identities with consecutive sequence numbers and returns the first. Errors:
    // invalid_request if `count` is 0 or above `maximum_issue_count`; queue_full_items if the number of live
    // identities would exceed `maximum_live_identities`.
    tl::expected<request_identity, refusal> issue(std::uint64_t count, absl::Time now);

    // Marks the identity as in progress if its request may run, and returns the decision.
    identity_begin_result begin(const request_identity& identity, absl::Time now);

    // Whether `identity` was issued and has not expired, and its request is not in progress and has not ended
    // as "ran" or "may have run". Apart from removing expired identities, the call changes nothing.
    bool is_unused(const request_identity& identity, absl::Time now);

    // Records the end of a request that ran or may have run.
    [[nodiscard]] tl::expected<void, identity_error> finish(const request_identity& identity,
                                                            stored_response response, absl::Time now);

    // Records that the only attempt did not run, so that the identity may be used again.
    [[nodiscard]] tl::expected<void, identity_error> revert(const request_identity& identity, absl::Time now);

    // The state to transfer to another entry VM, without the cached responses. The caller must not call begin
    // on this registry afterwards. An identity in progress stays in progress, since its request may have run.
    identity_transfer export_transfer(absl::Time now);

    // Creates a registry that takes over the identities of a transfer; it must not issue new ones. The error
    // describes why the transfer is invalid.
    static tl::expected<identity_registry, std::string> from_transfer(
        const identity_transfer& transfer, const identity_registry_options& options, absl::Time now);

    // Removes expired identities and their responses. The other methods that access identities do this as
    // well.
    void expire(absl::Time now);

    std::uint64_t live_identities() const;
    std::size_t cached_bytes() const { return cache_.bytes(); }
    // Memory used for the state of identities, without cached responses.
    std::size_t state_bytes() const;

private:
    enum class state : std::uint8_t { unused = 0, started = 1, finished = 2 };

    // Identities issued within a short time share one expiry time, which saves storing one per identity.
    struct block {
        std::uint64_t first = 0;
        std::uint64_t count = 0;
        absl::Time opened;
        absl::Time last_issued;
        std::vector<std::uint8_t> states;
    };

    tl::expected<block*, identity_error> find(const request_identity& identity);
    static state read_state(const block& from, std::uint64_t sequence);
    static void write_state(block& to, std::uint64_t sequence, state value);
    void append_identities(std::uint64_t count, absl::Time now);

    incarnation_id self_;
    identity_registry_options options_;
    std::uint64_t next_sequence_ = 1;
    std::deque<block> blocks_;
    response_cache cache_;
};

}  // namespace masticpass

#endif
