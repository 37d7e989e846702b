#ifndef MASTICPASS_DECISION_SERVING_FAILURE_STATISTICS_H
#define MASTICPASS_DECISION_SERVING_FAILURE_STATISTICS_H

#include <cstddef>
#include <deque>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"
#include "decision/serving/decayed_count.h"

namespace masticpass {

struct failure_statistics_options {
    // Time constant of the exponential decay: an attempt of this age has 37% of its weight left.
    absl::Duration decay_time = absl::Seconds(30);
    // Share of failed attempts at which a server, or a kind on a server, counts as failing.
    double failure_ratio = 0.5;
    // Number of recent attempts by which a server is assessed, and the minimum for an assessment.
    std::size_t maximum_recent_attempts = 16;
    std::size_t minimum_recent_attempts = 5;
    // A kind that fails on this many servers is considered faulty itself.
    std::size_t minimum_failing_servers_of_faulty_kind = 3;
    // Bounds memory use; the least recently recorded kind is evicted first.
    std::size_t maximum_kinds = 128;
};

// Recent successes and failures by job kind and server. Distinguishes a failing server from a faulty kind.
// Thread safety: none; the caller holds a lock. `now` must not decrease between calls.
class failure_statistics {
public:
    explicit failure_statistics(failure_statistics_options options);

    void record(const vm_id& server, const job_kind& kind, bool succeeded, absl::Time now);

    // Whether the server often fails kinds that succeed elsewhere.
    bool is_failing(const vm_id& server, absl::Time now) const;

    // Whether the kind fails on so many servers that the kind itself is considered faulty.
    bool is_faulty(const job_kind& kind, absl::Time now) const;

    void forget(const vm_id& server);

private:
    struct attempt {
        job_kind kind;
        bool succeeded = false;
        absl::Time ended;
    };
    struct outcome_count {
        decayed_count succeeded;
        decayed_count failed;
    };
    struct kind_record {
        absl::flat_hash_map<vm_id, outcome_count> servers;
        absl::Time last_recorded;
    };

    bool is_faulty(const kind_record& record, absl::Time now) const;
    bool succeeds_elsewhere(const kind_record& record, const vm_id& server, absl::Time now) const;
    void evict_least_recent_kind();

    failure_statistics_options options_;
    absl::flat_hash_map<job_kind, kind_record> kinds_;
    // Newest last. The last attempts show a fault that has just begun on a server with many earlier
    // successes.
    absl::flat_hash_map<vm_id, std::deque<attempt>> recent_attempts_;
};

}  // namespace masticpass

#endif
