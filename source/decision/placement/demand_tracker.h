#ifndef MASTICPASS_DECISION_PLACEMENT_DEMAND_TRACKER_H
#define MASTICPASS_DECISION_PLACEMENT_DEMAND_TRACKER_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

// The sliding window over which demand is averaged, to distinguish sustained demand from bursts.
struct demand_window {
    absl::Duration bin_length = absl::Seconds(60);
    // Alternating bursts of 4 to 12 s make an average over 8 min vary by several percent, which is enough to
    // start and end shortages. An average over 16 min varies less and still follows a drift over hours; see
    // docs/placement.md.
    std::size_t bin_count = 16;
};

// Estimated demand of one service, in slots.
struct demand_estimate {
    // The mean over the window. Moves are planned from this value only.
    double sustained_slots = 0;
    // The highest sample in the window. The part above the sustained demand is handled by spill-over, queues
    // and refusals, because it ends before a move would.
    double peak_slots = 0;
    // The part of the window that the samples cover.
    absl::Duration sampled_time = absl::ZeroDuration();
    // False until the samples cover half of the window: a shorter average may consist of a single burst.
    bool reliable = false;
};

// The sustained demand to plan with: `planned_slots`, until a reliable estimate differs from it by more than
// `band` times `planned_slots`. The dead band prevents small changes of the average from causing a new
// assessment of the pool in each round.
double planned_demand(double planned_slots, const demand_estimate& estimate, double band = 0.03);

// Averages the periodic demand samples of each service over a sliding window.
// Ownership: one instance per placement agent. Thread safety: none, the caller serializes access.
class demand_tracker {
public:
    explicit demand_tracker(demand_window window = {});

    // Records that the service has demanded `slots` slots (running and queued requests) since its previous
    // sample. A sample that is not newer than the previous one is ignored. If more than one bin has passed
    // since the previous sample, the demand of that time counts as unknown and not as zero.
    // Precondition: slots >= 0.
    void record(const service_name& service, absl::Time now, double slots);

    // The estimate at `now`; all zero for an unknown service.
    demand_estimate estimate(const service_name& service, absl::Time now) const;

    // Removes a service that is no longer declared.
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
        // The number of the newest bin, counted from the epoch. Bin n is stored at index n modulo
        // bins.size().
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
