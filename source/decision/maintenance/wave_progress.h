#ifndef MASTICPASS_DECISION_MAINTENANCE_WAVE_PROGRESS_H
#define MASTICPASS_DECISION_MAINTENANCE_WAVE_PROGRESS_H

#include <map>
#include <vector>

#include "decision/maintenance/transition.h"
#include "decision/maintenance/wave_planner.h"

namespace masticpass {

enum class wave_status { waiting, running, paused, paused_by_failures, cancelled, ended };

// The state of a wave over all its pools.
struct wave_report {
    wave_name wave;
    wave_status status = wave_status::waiting;
    int total = 0;
    int done = 0;
    int in_progress = 0;
    // VMs that have been out of service for longer than `return_timeout`.
    std::vector<vm_id> never_returned;
    // Pools in which failures use up the budget that the remaining VMs need.
    std::vector<pool_name> blocked_pools;
};

// Records that the wave starts in this pool at `now`. Does nothing if it has started already.
pool_record start_wave(const pool_record& record, const wave_name& wave, absl::Time now);

// True if the wave has started in this pool and every VM has been maintained or has exceeded the return
// timeout. A cancelled wave can end once no VM is reserved or rebooted for it, apart from VMs that have
// exceeded that timeout.
bool can_end_wave(const pool_record& record, const declared_wave& wave, absl::Time now);

// Marks the wave as ended in this pool and records the VMs that have not returned.
pool_record end_wave(const pool_record& record, const wave_name& wave, absl::Time now);

// Summarises a wave over the records of its pools.
wave_report report_wave(const declared_wave& wave, const std::map<pool_name, stored_pool_record>& records,
                        const std::map<pool_name, pool_limits>& limits,
                        const std::map<pool_name, unavailable_vms>& observed, absl::Time now);

}  // namespace masticpass

#endif
