#ifndef MASTICPASS_DECISION_JOBS_OWNER_PREFERENCE_H
#define MASTICPASS_DECISION_JOBS_OWNER_PREFERENCE_H

#include <absl/time/time.h>

namespace masticpass {

// Decides which entry VMs should own a shard when their CPU sizes differ. An owner on the smallest VM of a
// mixed fleet would saturate its CPU while larger VMs are idle. A small VM becomes the owner if no larger one
// acquires the shard in time.
struct owner_preference {
    // VMs whose sizes differ by less than this factor are treated as equal.
    static constexpr double minimum_size_ratio = 1.5;
    // How much longer a small VM leaves a shard without an owner: two polling intervals of the larger VMs.
    static constexpr absl::Duration small_vm_delay = absl::Milliseconds(1200);

    // CPU of this VM, in cores.
    double own_cores = 0;

    // Returns whether this VM may acquire a shard that has had no owner since `missing_since`.
    // `largest_cores` is the size of the largest VM that ever took part in the election.
    bool may_acquire(double largest_cores, absl::Time missing_since, absl::Time now) const {
        return largest_cores < own_cores * minimum_size_ratio || now - missing_since >= small_vm_delay;
    }

    // Returns whether this VM should own the shard instead of a VM with `owner_cores`.
    bool should_replace(double owner_cores) const { return own_cores >= owner_cores * minimum_size_ratio; }
};

}  // namespace masticpass

#endif
