#ifndef MASTICPASS_DECISION_JOBS_JOB_SIMULATION_H
#define MASTICPASS_DECISION_JOBS_JOB_SIMULATION_H

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decision/jobs/job_scheduler.h"
#include "decision/jobs/owner_lease.h"
#include "decision/jobs/worker_clock.h"

namespace masticpass {

// Simulates workers, a store and shard owners in one process with virtual time. The owners run the production
// decision code. The simulation delivers, loses and delays their messages, crashes workers and owners,
// restarts workers under the same id, pauses owners, and checks the invariants: at most one run of a task
// exists, no task starts before its time, before the steps that it depends on or after its completion was
// stored or acknowledged, no result is acknowledged after a later start of its task, no task exceeds its
// maximum number of attempts, no record changes after its job ended, and in the end every job has ended.
// Simulated workers refuse starts that exceed their capacity. Thread safety: none.
class job_simulation {
public:
    struct options {
        unsigned seed = 1;
        bool has_faults = true;
        // Disabled guards. Disabling any of them must cause a violation.
        bool treats_lost_starts_as_unsent = false;
        bool skips_takeover_wait = false;
        bool acknowledges_before_storing = false;
        bool releases_all_runs_at_restart = false;
        bool takes_partial_reports_as_complete = false;
        bool forgets_run_numbers = false;
    };

    explicit job_simulation(const options& options);

    // Runs load and faults for some seconds, then a recovery period. Returns the first violation, or nullopt.
    std::optional<std::string> run();

private:
    static constexpr int worker_count = 4;
    static constexpr std::int64_t worker_cpu_millis = 4000;
    // By how much the wall clock of an owner may be wrong.
    static constexpr int maximum_clock_error_ms = 700;
    static constexpr absl::Duration tick = absl::Milliseconds(40);
    static constexpr int max_attempts = 3;

    struct simulated_run {
        run_number run = 0;
        absl::Time ends_at = {};
        run_outcome end = run_outcome::done;
        std::int64_t cpu_millis = 0;
    };
    struct delayed_order {
        absl::Time sent_at = {};
        absl::Time at = {};
        worker_order order = {};
        std::int64_t until_ms = 0;
        fencing_token_value fencing_token = 0;
    };
    // A response to a poll that has not arrived yet.
    struct delayed_report {
        absl::Time at = {};
        absl::Time sent_at = {};
        std::int64_t clock_ms = 0;
        worker_report report = {};
    };
    struct simulated_worker {
        worker_entry entry = {};
        absl::Time started_at = {};
        double clock_rate = 1.0;
        bool is_alive = true;
        absl::Time partitioned_until = {};
        // No partition begins before this time.
        absl::Time connected_until = {};
        // Owners with a lower fencing token than this still reach the worker.
        fencing_token_value partitioned_fencing_token = 0;
        std::int64_t lease_end_ms = 0;
        fencing_token_value fencing_token = 0;
        std::map<task_name, simulated_run> runs = {};
        std::map<task_name, run_number> highest_blocked_run = {};
        std::vector<listed_end> ends = {};
        std::int64_t last_end = 0;
        // When the lease lapsed last, ends up to this one were listed.
        std::int64_t last_end_before_lapse = 0;
        // Ends with a result after which the task was started again, while the worker held its lease.
        std::set<std::int64_t> superseded_ends = {};
        std::vector<delayed_order> delayed_orders = {};

        bool is_partitioned_from(fencing_token_value token, absl::Time now) const {
            return now < partitioned_until && token >= partitioned_fencing_token;
        }
        std::int64_t clock_ms(absl::Time now) const;
        void end_run(const task_name& task, run_outcome end);
    };
    struct worker_connection {
        worker_clock clock{ownership_limits{}};
        bool is_responding = false;
        bool is_lease_expired = false;
        absl::Time next_poll = {};
        std::optional<delayed_report> report = {};
    };
    struct simulated_owner {
        simulated_owner(const ownership_limits& limits, fencing_token_value token, absl::Time now,
                        absl::Duration clock_error)
            : fencing_token(token), granted_at(now), wall_clock_error(clock_error), lease(limits, now) {}

        fencing_token_value fencing_token;
        absl::Time granted_at;
        // By how much the owner's wall clock is ahead.
        absl::Duration wall_clock_error;
        owner_lease lease;
        // Only the records say which run numbers earlier owners have used.
        job_scheduler scheduler{{}};
        std::map<worker_id, worker_connection> connections = {};
        absl::Time paused_until = {};
        absl::Time next_renewal = {};
        std::set<job_id> known_jobs = {};
        bool has_ended = false;
    };
    struct stored_job {
        accepted_job job = {};
        job_record record = {};
        fencing_token_value accepted_by = 0;
        bool is_cancelled = false;
    };

    bool chance(int per_mille) { return static_cast<int>(random_() % 1000) < per_mille; }
    absl::Duration random_duration(int low_ms, int high_ms) {
        return absl::Milliseconds(low_ms +
                                  static_cast<int>(random_() % static_cast<unsigned>(high_ms - low_ms + 1)));
    }
    void report_violation(const std::string& what);

    bool have_all_jobs_ended() const;
    void add_load();
    void add_faults();
    void crash(simulated_worker& worker);
    // Starts a new incarnation of the worker under the same id. It may execute start orders that are in
    // transit.
    void restart(simulated_worker& worker);
    void run_workers();
    void elect_owner();
    void run_owner(simulated_owner& owner);
    void load_jobs(simulated_owner& owner);
    void poll(simulated_owner& owner, simulated_worker& worker);
    // Delivers the response to a poll once it has arrived.
    void deliver_report(simulated_owner& owner, simulated_worker& worker);
    void send_orders(simulated_owner& owner, const std::vector<worker_order>& orders);
    void send_order(simulated_owner& owner, const worker_order& order);
    start_outcome start_at(simulated_worker& worker, const worker_order& order, std::int64_t until_ms,
                           fencing_token_value fencing_token);
    void check_start(const simulated_worker& worker, const worker_order& order);
    void acknowledge_ends(simulated_worker& worker, std::int64_t last_acknowledged);
    void store_batch(simulated_owner& owner);

    const options options_;
    const ownership_limits limits_;
    std::mt19937 random_;
    absl::Time now_ = absl::UnixEpoch() + absl::Seconds(1000);
    bool has_faults_ = true;
    std::optional<std::string> violation_;

    std::map<worker_id, simulated_worker> workers_;
    std::map<job_id, stored_job> jobs_;
    std::set<task_name> stored_completions_;
    std::set<task_name> acknowledged_completions_;
    std::map<task_name, std::set<run_number>> failed_runs_;
    int next_worker_ = 0;
    int next_job_ = 0;

    bool is_store_up_ = true;
    absl::Time store_recovers_at_ = {};
    fencing_token_value owner_record_ = 0;
    absl::Time owner_record_expires_at_ = {};
    fencing_token_value last_fencing_token_ = 10;
    std::vector<std::unique_ptr<simulated_owner>> owners_;
};

}  // namespace masticpass

#endif
