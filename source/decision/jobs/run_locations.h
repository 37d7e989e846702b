#ifndef MASTICPASS_DECISION_JOBS_RUN_LOCATIONS_H
#define MASTICPASS_DECISION_JOBS_RUN_LOCATIONS_H

#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "decision/jobs/job_types.h"

namespace masticpass {

// Index of the workers on which each job has runs, so that stopping a job does not scan all workers.
// Thread safety: none.
class run_locations {
public:
    void add(const job_id& job, const worker_id& worker) { ++counts_[job][worker]; }

    // Precondition: the run was added.
    void remove(const job_id& job, const worker_id& worker) {
        const auto found = counts_.find(job);
        auto& workers = found->second;
        const auto count = workers.find(worker);
        if (--count->second == 0) {
            workers.erase(count);
        }
        if (workers.empty()) {
            counts_.erase(found);
        }
    }

    // Sorted by worker id. Returns a copy, since callers remove runs while they iterate.
    std::vector<worker_id> workers_of(const job_id& job) const {
        std::vector<worker_id> workers;
        const auto found = counts_.find(job);
        if (found != counts_.end()) {
            for (const auto& [worker, count] : found->second) {
                workers.push_back(worker);
            }
        }
        return workers;
    }

private:
    absl::flat_hash_map<job_id, absl::btree_map<worker_id, int>> counts_;
};

}  // namespace masticpass

#endif
