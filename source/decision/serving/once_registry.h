#ifndef MASTICPASS_DECISION_SERVING_ONCE_REGISTRY_H
#define MASTICPASS_DECISION_SERVING_ONCE_REGISTRY_H

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
#include "decision/serving/once_identity.h"
#include "decision/serving/once_response_cache.h"

namespace masticpass {

struct once_options {
    absl::Duration lifetime = absl::Minutes(15);
    std::size_t cache_bytes = std::size_t{8} << 20U;
    // Bounds the response to one call that issues identities.
    std::uint64_t largest_issue = 10'000;
    // Bounds the memory of the registry; 8 million identities take 2 MB.
    std::uint64_t largest_live = 8'000'000;
};

enum class once_decision {
    // The caller holds the right to run the request and has to call finish or revert.
    first_run,
    in_progress,
    finished,
    // This incarnation never issued the identity, so the request did not run.
    unknown,
    // The record is gone, so the request may have run.
    expired,
    // The identity belongs to another incarnation, to which the request has to be forwarded.
    other_issuer,
};

struct [[nodiscard]] once_begin {
    once_decision decision = once_decision::expired;
    // Set only if `decision` is `finished` and the response is still held.
    std::shared_ptr<const once_response> response = nullptr;
};

enum class once_error { not_in_progress, unknown, expired, other_issuer };

// The state of an incarnation's identities, as it passes to another entry VM. Times are ages, since monotonic
// clocks of two machines cannot be compared.
struct once_transfer {
    struct part {
        std::uint64_t first = 0;
        std::uint64_t count = 0;
        absl::Duration age;
        // Two bits per identity.
        std::vector<std::uint8_t> states;
    };

    incarnation_id issuer;
    std::uint64_t next = 1;
    std::vector<part> parts;
};

// Issues request identities and lets each one run at most once. Keeps two bits per identity until the
// identity expires, and finished responses within a bound in bytes. Thread safety: none; the caller holds a
// lock. `now` must not go back.
class once_registry {
public:
    explicit once_registry(incarnation_id self, once_options options = {});

    // Issues `count` identities with consecutive sequence numbers and returns the first. Errors:
    // invalid_request if `count` is 0 or above `largest_issue`; queue_full_items if too many identities are
    // live.
    tl::expected<once_identity, refusal> issue(std::uint64_t count, absl::Time now);

    // Asks to run the request with `identity`.
    once_begin begin(const once_identity& identity, absl::Time now);

    // Whether `identity` was issued, has not expired, and no run with it is in progress or has ended, other
    // than as not run. Changes nothing but what has expired.
    bool is_unused(const once_identity& identity, absl::Time now);

    // Records that the request ended after it ran or may have run.
    [[nodiscard]] tl::expected<void, once_error> finish(const once_identity& identity, once_response response,
                                                        absl::Time now);

    // Records that the only attempt did not run, so that the identity may be used again.
    [[nodiscard]] tl::expected<void, once_error> revert(const once_identity& identity, absl::Time now);

    // The state for another entry VM, without the held responses. The caller makes sure that this registry
    // begins nothing afterwards; an identity in progress stays so, and may have run.
    once_transfer hand_over(absl::Time now);

    // The registry that goes on with the identities of a transfer. It issues none. The error says why the
    // transfer cannot be valid.
    static tl::expected<once_registry, std::string> take_over(const once_transfer& transfer,
                                                              const once_options& options, absl::Time now);

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

    tl::expected<block*, once_error> find(const once_identity& identity);
    static state read(const block& from, std::uint64_t sequence);
    static void write(block& to, std::uint64_t sequence, state value);
    void append(std::uint64_t count, absl::Time now);

    incarnation_id self_;
    once_options options_;
    std::uint64_t next_ = 1;
    std::deque<block> blocks_;
    once_response_cache cache_;
};

}  // namespace masticpass

#endif
