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
    std::size_t max_cache_bytes = std::size_t{8} << 20U;
    // Bounds the response to one call that issues identities.
    std::uint64_t max_issue_count = 10'000;
    // Bounds the memory of the registry; 8 million identities take 2 MB.
    std::uint64_t max_live_identities = 8'000'000;
};

enum class identity_begin_decision {
    // The caller holds the right to run the request and has to call finish or revert.
    may_run,
    in_progress,
    finished,
    // This incarnation never issued the identity, so the request did not run.
    unknown,
    // The record is gone, so the request may have run.
    expired,
    // The identity belongs to another incarnation, to which the request has to be forwarded.
    other_issuer,
};

struct [[nodiscard]] identity_begin_result {
    identity_begin_decision decision = identity_begin_decision::expired;
    // Set only if `decision` is `finished` and the response is still held.
    std::shared_ptr<const stored_response> response = nullptr;
};

enum class identity_error { not_in_progress, unknown, expired, other_issuer };

// The state of an incarnation's identities, as it passes to another entry VM. Times are ages, since monotonic
// clocks of two machines cannot be compared.
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

// Issues request identities and lets each one run at most once. Keeps two bits per identity until the
// identity expires, and finished responses within a bound in bytes. Thread safety: none; the caller holds a
// lock. `now` must not go back.
class identity_registry {
public:
    explicit identity_registry(incarnation_id self, identity_registry_options options = {});

    // Issues `count` identities with consecutive sequence numbers and returns the first. Errors:
    // invalid_request if `count` is 0 or above `largest_issue`; queue_full_items if too many identities are
    // live.
    tl::expected<request_identity, refusal> issue(std::uint64_t count, absl::Time now);

    // Asks to run the request with `identity`.
    identity_begin_result begin(const request_identity& identity, absl::Time now);

    // Whether `identity` was issued, has not expired, and no run with it is in progress or has ended, other
    // than as not run. Changes nothing but what has expired.
    bool is_unused(const request_identity& identity, absl::Time now);

    // Records that the request ended after it ran or may have run.
    [[nodiscard]] tl::expected<void, identity_error> finish(const request_identity& identity,
                                                            stored_response response, absl::Time now);

    // Records that the only attempt did not run, so that the identity may be used again.
    [[nodiscard]] tl::expected<void, identity_error> revert(const request_identity& identity, absl::Time now);

    // The state for another entry VM, without the cached responses. The caller ensures that this registry
    // begins nothing afterwards; an identity in progress stays so, and may have run.
    identity_transfer export_transfer(absl::Time now);

    // Creates a registry that continues with the identities of a transfer and issues none. The error says why
    // the transfer is invalid.
    static tl::expected<identity_registry, std::string> from_transfer(
        const identity_transfer& transfer, const identity_registry_options& options, absl::Time now);

    // Forgets expired identities and their responses. The other methods do this as well.
    void expire(absl::Time now);

    std::uint64_t live_identities() const;
    std::size_t cached_bytes() const { return cache_.bytes(); }
    // Bytes held for the state of identities, without cached responses.
    std::size_t state_bytes() const;

private:
    enum class state : std::uint8_t { unused = 0, started = 1, finished = 2 };

    // Identities issued close together in time share one expiry, so that expiry needs no time per identity.
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
