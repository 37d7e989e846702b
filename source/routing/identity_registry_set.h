#ifndef MASTICPASS_ROUTING_IDENTITY_REGISTRY_SET_H
#define MASTICPASS_ROUTING_IDENTITY_REGISTRY_SET_H

#include <map>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "decision/serving/identity_registry.h"
#include "routing/service_request.h"

namespace masticpass {

// The registries of the identities that this entry VM may run: its own registry, and those that it took over
// from stopped entry VMs. Ownership: borrows the clock, which must outlive it. Thread safety: all methods may
// be called from any thread.
class identity_registry_set {
public:
    identity_registry_set(const incarnation_id& self, const identity_registry_options& options,
                          const clock& time_source);

    // Errors: those of identity_registry::issue; `stopping` after hand_over.
    tl::expected<std::vector<request_id>, refusal> issue(std::size_t count);

    // Marks the identity as in progress if its request may run, and returns the decision. It is
    // `other_issuer` if this entry VM does not hold the identities of the issuer or has handed them over.
    identity_begin_result begin(const request_identity& identity);

    // Whether this entry VM holds the identity, and its request is not in progress and has not ended as "ran"
    // or "may have run". False after hand_over, since the new holder may have begun a run.
    bool is_unused(const request_identity& identity);

    // Records the result of a run that `begin` allowed.
    void finish(const request_identity& identity, const request_result& result);

    // Returns the state of all identities for transfer to another entry VM. Afterwards, this entry VM issues
    // no identities and begins no runs.
    std::vector<identity_transfer> hand_over();

    // Takes over identities of another entry VM. Returns false and changes nothing if a transfer is invalid
    // or already held, if too many issuers would be held, or if this entry VM has handed over its own
    // identities.
    [[nodiscard]] bool take_over(const std::vector<identity_transfer>& transfers);

    // The incarnations whose identities were taken over and have not all expired.
    std::vector<incarnation_id> taken_over();

private:
    identity_registry* registry_of(const incarnation_id& issuer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_expired(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const incarnation_id self_;
    const identity_registry_options options_;
    const clock& clock_;
    absl::Mutex mutex_;
    identity_registry own_ ABSL_GUARDED_BY(mutex_);
    std::map<incarnation_id, identity_registry> taken_over_ ABSL_GUARDED_BY(mutex_);
    bool handed_over_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace masticpass

#endif
