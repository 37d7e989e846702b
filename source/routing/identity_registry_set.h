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

// The identities that this entry VM may run: those it issued, and those it took over from entry VMs that
// stopped. Ownership: borrows the clock, which must outlive it. Thread safety: all methods may be called from
// any thread.
class identity_registry_set {
public:
    identity_registry_set(const incarnation_id& self, const identity_registry_options& options,
                          const clock& time_source);

    // Errors: those of identity_registry::issue; stopping after hand_over.
    tl::expected<std::vector<request_id>, refusal> issue(std::size_t count);

    // Asks to run the request with `identity`. `other_issuer` if this entry VM does not hold the identities
    // of the issuer, or no longer.
    identity_begin_result begin(const request_identity& identity);

    // Whether this entry VM holds the identity and no run with it is in progress or has ended, other than as
    // not run. False after hand_over, since the new holder may have begun it.
    bool is_unused(const request_identity& identity);

    // Records how a run that `begin` allowed has ended.
    void finish(const request_identity& identity, const request_result& result);

    // The state of all identities for another entry VM. Nothing begins or is issued here afterwards.
    std::vector<identity_transfer> hand_over();

    // Goes on with identities of another entry VM. Changes nothing and returns false if a transfer is not
    // valid, is already held, or this entry VM has handed over its own.
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
