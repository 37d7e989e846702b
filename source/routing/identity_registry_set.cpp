#include "routing/identity_registry_set.h"

#include <iterator>
#include <utility>

#include "common/invariant.h"

namespace masticpass {

namespace {

// A registry holds at most the identities issued within one lifetime, so this limit bounds the memory use and
// the size of heartbeats.
constexpr std::size_t maximum_taken_over_issuers = 32;

stored_response to_stored_response(const request_result& result) {
    stored_response response;
    response.outcome = result ? verdict::ran : result.error().outcome;
    if (result) {
        response.status = result->status;
        response.content_type = result->content_type;
        response.body = result->body;
    }
    return response;
}

}  // namespace

identity_registry_set::identity_registry_set(const incarnation_id& self,
                                             const identity_registry_options& options,
                                             const clock& time_source)
    : self_(self), options_(options), clock_(time_source), own_(self, options) {}

tl::expected<std::vector<request_id>, refusal> identity_registry_set::issue(std::size_t count) {
    const absl::MutexLock lock(&mutex_);
    if (handed_over_) {
        return tl::unexpected(
            refusal{verdict::not_run, refusal_reason::stopping, "this entry VM is stopping"});
    }
    auto first = own_.issue(count, clock_.now());
    if (!first) {
        return tl::unexpected(std::move(first.error()));
    }
    std::vector<request_id> identities;
    identities.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        identities.emplace_back(request_identity{first->issuer, first->sequence + index}.to_string());
    }
    return identities;
}

identity_registry* identity_registry_set::registry_of(const incarnation_id& issuer) {
    if (issuer == self_) {
        return &own_;
    }
    const auto found = taken_over_.find(issuer);
    return found == taken_over_.end() ? nullptr : &found->second;
}

identity_begin_result identity_registry_set::begin(const request_identity& identity) {
    const absl::MutexLock lock(&mutex_);
    identity_registry* const registry = registry_of(identity.issuer);
    if (registry == nullptr || handed_over_) {
        return {.decision = identity_begin_decision::other_issuer};
    }
    return registry->begin(identity, clock_.now());
}

bool identity_registry_set::is_unused(const request_identity& identity) {
    const absl::MutexLock lock(&mutex_);
    identity_registry* const registry = registry_of(identity.issuer);
    return registry != nullptr && !handed_over_ && registry->is_unused(identity, clock_.now());
}

void identity_registry_set::finish(const request_identity& identity, const request_result& result) {
    const absl::MutexLock lock(&mutex_);
    identity_registry* const registry = registry_of(identity.issuer);
    if (registry == nullptr) {
        return;
    }
    const bool not_run = !result && result.error().outcome == verdict::not_run;
    const auto recorded = not_run ? registry->revert(identity, clock_.now())
                                  : registry->finish(identity, to_stored_response(result), clock_.now());
    // The identity may have expired while the request ran. Its state is deleted then, and there is nothing to
    // record.
    check_invariant(recorded || recorded.error() != identity_error::not_in_progress,
                    "the identity of a finished run was in progress");
}

std::vector<identity_transfer> identity_registry_set::hand_over() {
    const absl::MutexLock lock(&mutex_);
    handed_over_ = true;
    const absl::Time now = clock_.now();
    drop_expired(now);
    std::vector<identity_transfer> transfers = {own_.export_transfer(now)};
    for (auto& [issuer, registry] : taken_over_) {
        transfers.push_back(registry.export_transfer(now));
    }
    return transfers;
}

bool identity_registry_set::take_over(const std::vector<identity_transfer>& transfers) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.now();
    drop_expired(now);
    if (handed_over_ || taken_over_.size() + transfers.size() > maximum_taken_over_issuers) {
        return false;
    }
    std::map<incarnation_id, identity_registry> accepted;
    for (const identity_transfer& transfer : transfers) {
        auto registry = identity_registry::from_transfer(transfer, options_, now);
        const bool is_held = registry_of(transfer.issuer) != nullptr || accepted.contains(transfer.issuer);
        if (!registry || is_held) {
            return false;
        }
        accepted.emplace(transfer.issuer, std::move(*registry));
    }
    taken_over_.merge(accepted);
    return true;
}

void identity_registry_set::drop_expired(absl::Time now) {
    for (auto entry = taken_over_.begin(); entry != taken_over_.end();) {
        entry->second.expire(now);
        entry = entry->second.live_identities() == 0 ? taken_over_.erase(entry) : std::next(entry);
    }
}

std::vector<incarnation_id> identity_registry_set::taken_over() {
    const absl::MutexLock lock(&mutex_);
    drop_expired(clock_.now());
    std::vector<incarnation_id> result;
    for (const auto& [issuer, registry] : taken_over_) {
        result.push_back(issuer);
    }
    return result;
}

}  // namespace masticpass
