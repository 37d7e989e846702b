#include "support/at_most_once_part.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

#include "decision/serving/identity_registry.h"
#include "support/table.h"

namespace masticpass::measure {
namespace {

constexpr double request_rate = 2'000.0;
constexpr double store_writes_per_second = 500.0;
constexpr double store_latency = 0.005;
constexpr double batch_interval = 0.02;
constexpr double run_time = 0.1;
constexpr double queue_time = 0.05;
constexpr double maximum_wait = 2.0;
constexpr double entry_vm_lost_at = 10.0;
constexpr int entry_vms = 3;

enum class variant { registry, write_per_request, batched_claims };

struct at_most_once_figures {
    std::int64_t requests = 0;
    std::int64_t store_calls = 0;
    // Refused because the store could not record the claim of the request in time.
    std::int64_t overloaded = 0;
    // Requests of the lost entry VM: those whose callers are told "may have run", those among them that had
    // not even started, and those whose callers are told "not run".
    std::int64_t may_have_run = 0;
    std::int64_t not_started = 0;
    std::int64_t not_run = 0;
    std::vector<double> added_wait;
};

// Models when an entry VM holds the claim of a request, which is the right to run it. The request proceeds
// from that time on.
class claim_model {
public:
    explicit claim_model(variant kind) : kind_(kind) {}

    // Returns the time at which the claim of a request that arrives at `now` is held, and counts the store
    // calls for it.
    double claim_time(double now, std::size_t entry, at_most_once_figures& figures) {
        switch (kind_) {
            case variant::registry:
                return now;
            case variant::write_per_request:
                if (store_free_at_ + store_latency + 1.0 / store_writes_per_second > now + maximum_wait) {
                    return now + 2 * maximum_wait;
                }
                ++figures.store_calls;
                store_free_at_ = std::max(store_free_at_, now) + 1.0 / store_writes_per_second;
                return store_free_at_ + store_latency;
            case variant::batched_claims:
                break;
        }
        if (now >= batch_ends_at_[entry]) {
            batch_ends_at_[entry] = now + batch_interval;
            ++figures.store_calls;
            store_free_at_ = std::max(store_free_at_, batch_ends_at_[entry]) + 1.0 / store_writes_per_second;
            batch_claimed_at_[entry] = store_free_at_ + store_latency;
        }
        return batch_claimed_at_[entry];
    }

private:
    variant kind_;
    double store_free_at_ = 0.0;
    double batch_ends_at_[entry_vms] = {};
    double batch_claimed_at_[entry_vms] = {};
};

// Entry VM 0 is lost at `entry_vm_lost_at`. Its requests whose claim was written must not run on another
// entry VM. Those without a claim have not run and may be sent again.
at_most_once_figures run_variant(variant kind, std::uint64_t seed) {
    boost::random::mt19937_64 random(seed);
    at_most_once_figures figures;
    claim_model claims(kind);
    identity_registry registry(incarnation_id("entry.1"));
    for (double now = 0.0; now < entry_vm_lost_at;) {
        now += boost::random::exponential_distribution<double>(request_rate)(random);
        const auto entry = static_cast<std::size_t>(figures.requests++ % entry_vms);
        if (kind == variant::registry && entry == 0) {
            const absl::Time issued_at = absl::UnixEpoch() + absl::Seconds(now);
            const request_identity identity = registry.issue(1, issued_at).value();
            static_cast<void>(registry.begin(identity, issued_at));
        }
        const double claim_time = claims.claim_time(now, entry, figures);
        if (claim_time - now > maximum_wait) {
            ++figures.overloaded;
            continue;
        }
        figures.added_wait.push_back(claim_time - now);
        const double started = claim_time + queue_time;
        if (entry != 0 || started + run_time <= entry_vm_lost_at) {
            continue;
        }
        // The claim is written when the store receives it, which is half the latency before the response.
        const bool holds_claim =
            kind == variant::registry || claim_time - store_latency / 2 <= entry_vm_lost_at;
        figures.may_have_run += holds_claim ? 1 : 0;
        figures.not_started += holds_claim && started > entry_vm_lost_at ? 1 : 0;
        figures.not_run += holds_claim ? 0 : 1;
    }
    return figures;
}

}  // namespace

void measure_at_most_once(std::uint64_t seed) {
    table rows({"variant", "requests", "store calls", "calls per request let through", "added p50 ms",
                "added p99 ms", "refused: store full", "lost VM: may have run", "of these not started",
                "lost VM: not run"});
    const std::vector<std::pair<std::string, variant>> variants = {
        {"identities (this design)", variant::registry},
        {"one write per request", variant::write_per_request},
        {"claims in batches of 20 ms", variant::batched_claims}};
    for (const auto& [name, kind] : variants) {
        const at_most_once_figures figures = run_variant(kind, seed);
        rows.add({name, absl::StrCat(figures.requests), absl::StrCat(figures.store_calls),
                  absl::StrFormat("%.4f", static_cast<double>(figures.store_calls) /
                                              static_cast<double>(figures.requests - figures.overloaded)),
                  absl::StrFormat("%.1f", 1000.0 * percentile(figures.added_wait, 0.5)),
                  absl::StrFormat("%.1f", 1000.0 * percentile(figures.added_wait, 0.99)),
                  absl::StrCat(figures.overloaded), absl::StrCat(figures.may_have_run),
                  absl::StrCat(figures.not_started), absl::StrCat(figures.not_run)});
    }
    rows.print(
        absl::StrCat("Requests that must not be repeated, 2,000/s on 3 entry VMs, a store of 500 writes/s, "
                     "one entry VM lost after 10 s, seed ",
                     seed));
}

}  // namespace masticpass::measure
