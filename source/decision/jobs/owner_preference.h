#ifndef MASTICPASS_DECISION_JOBS_OWNER_PREFERENCE_H
#define MASTICPASS_DECISION_JOBS_OWNER_PREFERENCE_H

#include <absl/time/time.h>

namespace masticpass {

// Which entry VMs own a shard first where their processors differ. An owner on the smallest VM of a mixed
// fleet saturates its processor while larger ones are idle. Any VM owns if no larger one does in time.
struct owner_preference {
    // Differences up to this factor do not matter.
    static constexpr double minimum_size_ratio = 1.5;
    // How much longer a small VM leaves a shard without an owner: two polls of the larger ones.
    static constexpr absl::Duration small_vm_delay = absl::Milliseconds(1200);

    // Processor of this VM, in cores.
    double own_cores = 0;

    // The shard has had no owner since `missing_since`. `largest_cores`: largest VM that ever took part.
    bool may_acquire(double largest_cores, absl::Time missing_since, absl::Time now) const {
        return largest_cores < own_cores * minimum_size_ratio || now - missing_since >= small_vm_delay;
    }

    // This VM should own the shard instead of a VM with `owner_cores`.
    bool should_replace(double owner_cores) const { return own_cores >= owner_cores * minimum_size_ratio; }
};

}  // namespace masticpass

#endif
