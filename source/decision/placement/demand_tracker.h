#ifndef MASTICPASS_DECISION_PLACEMENT_DEMAND_TRACKER_H
#define MASTICPASS_DECISION_PLACEMENT_DEMAND_TRACKER_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

// Tells sustained demand from bursts.
struct demand_window {
    absl::Duration bin_length = absl::Seconds(60);
    // Bursts in turn of 4 to 12 s make an average over 8 min vary by several percent, enough to start and
    // stop shortages. Over 16 min it varies less and still follows a drift over hours; see docs/placement.md.
    std::size_t bin_count = 16;
};

// Demand of one service in slots.
struct demand_estimate {
    // Mean over the window. Moves follow only this figure.
    double sustained_slots = 0;
    // Highest sample in the window. The part above the sustained demand is left to spill-over, queues and
    // refusals, since it ends before a move does.
    double peak_slots = 0;
    // Time that the samples in the window cover.
    absl::Duration sampled_time = absl::ZeroDuration();
    // False until samples cover half the window: a shorter average may consist of one burst.
    bool reliable = false;
};

// The sustained demand to plan with: `planned_slots` until a reliable estimate differs by more than `band` of
// it. The band keeps small changes of the average from causing a new assessment of the pool each round.
double planned_demand(double planned_slots, const demand_estimate& estimate, double band = 0.03);

// Averages the periodic demand samples of each service over a sliding window.
// Ownership: one instance per placement agent. Thread safety: none, the caller serializes access.
class demand_tracker {
public:
    explicit demand_tracker(demand_window window = {});

    // Records that the service wants `slots` slots (running and queued requests) since its previous sample.
    // A sample that is not newer than the previous one is ignored. Time between samples beyond one bin counts
    // as unknown and not as zero demand. Precondition: slots >= 0.
    void record(const service_name& service, absl::Time now, double slots);

    // The estimate at `now`; all zero for an unknown service.
    demand_estimate estimate(const service_name& service, absl::Time now) const;

    // Forgets a service that is no longer declared.
    void remove(const service_name& service);

    std::size_t service_count() const { return series_.size(); }

private:
    struct demand_bin {
        double slot_seconds = 0;
        double seconds = 0;
        double peak_slots = 0;
    };
    struct demand_series {
        absl::Time last_sample = absl::InfinitePast();
        // Number of the newest bin since the epoch; bin n is stored at n modulo the number of bins.
        std::int64_t newest_bin = 0;
        std::vector<demand_bin> bins;
    };

    std::int64_t bin_number(absl::Time time) const;
    void advance_to_bin(demand_series& series, std::int64_t bin) const;

    demand_window window_;
    absl::flat_hash_map<service_name, demand_series> series_;
};

}  // namespace masticpass

#endif
