#ifndef MASTICPASS_DECISION_JOBS_JOB_WORLD_H
#define MASTICPASS_DECISION_JOBS_JOB_WORLD_H

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

// Workers, a store and owners in one process with virtual time. The owners are the real decision code; the
// world delivers, loses and delays what they send, kills and pauses them, and checks what must always hold:
// at most one run of a task exists, no task starts before the steps that it waits for or after its end was
// stored, no worker is over its room, attempts are not exceeded, and in the end every job has ended. Thread
// safety: none.
class job_world {
public:
    struct options {
        unsigned seed = 1;
        bool has_faults = true;
        // Removed guards, each of which must be noticed.
        bool trusts_lost_starts = false;
        bool skips_takeover_wait = false;
        bool acknowledges_early = false;
    };

    explicit job_world(const options& options);

    // Runs faults and load for some seconds, then a calm time. Returns the first broken rule, or nothing.
    std::optional<std::string> run();

private:
    static constexpr int worker_count = 4;
    static constexpr absl::Duration tick = absl::Milliseconds(40);
    static constexpr int max_attempts = 3;

    struct model_run {
        run_number run = 0;
        absl::Time ends_at = {};
        run_outcome end = run_outcome::done;
        std::int64_t cpu_millis = 0;
    };
    struct late_order {
        absl::Time at = {};
        worker_order order = {};
        std::int64_t until_ms = 0;
        fencing_token fence = 0;
    };
    struct model_worker {
        worker_entry entry = {};
        absl::Time started_at = {};
        double clock_rate = 1.0;
        bool is_alive = true;
        absl::Time cut_until = {};
        // Owners with a lower fence still reach the worker.
        fencing_token cut_from = 0;
        std::int64_t held_until_ms = 0;
        fencing_token fence = 0;
        std::map<task_name, model_run> runs = {};
        std::map<task_name, run_number> barred = {};
        std::vector<listed_end> ends = {};
        std::int64_t last_end = 0;
        std::vector<late_order> late = {};

        bool is_cut_from(fencing_token owner, absl::Time now) const {
            return now < cut_until && owner >= cut_from;
        }
        std::int64_t clock_ms(absl::Time now) const;
        void end_run(const task_name& task, run_outcome end);
    };
    struct owner_link {
        worker_clock clock{0.98};
        bool is_answering = false;
        bool is_lapsed = false;
        absl::Time next_look = {};
    };
    struct model_owner {
        model_owner(const ownership_limits& limits, fencing_token token, absl::Time now, std::int64_t term)
            : fence(token),
              granted_at(now),
              lease(limits, now),
              scheduler({.first_inherited_run_number = term * 64 + 1}) {}

        fencing_token fence;
        absl::Time granted_at;
        owner_lease lease;
        job_scheduler scheduler;
        std::map<worker_id, owner_link> links = {};
        absl::Time frozen_until = {};
        absl::Time next_renewal = {};
        std::set<job_id> taken = {};
        bool is_over = false;
    };
    struct stored_job {
        accepted_job job = {};
        job_record record = {};
        fencing_token accepted_under = 0;
        bool is_cancelled = false;
    };

    bool chance(int per_mille) { return static_cast<int>(random_() % 1000) < per_mille; }
    absl::Duration between(int low_ms, int high_ms) {
        return absl::Milliseconds(low_ms +
                                  static_cast<int>(random_() % static_cast<unsigned>(high_ms - low_ms + 1)));
    }
    void fail(const std::string& what);

    bool have_all_ended() const;
    void add_load();
    void add_faults();
    void crash(model_worker& worker);
    void run_workers();
    void elect();
    void run_owner(model_owner& owner);
    void take_jobs(model_owner& owner);
    void look(model_owner& owner, model_worker& worker);
    void give_orders(model_owner& owner, const std::vector<worker_order>& orders);
    void give(model_owner& owner, const worker_order& order);
    start_outcome start_at(model_worker& worker, const worker_order& order, std::int64_t until_ms,
                           fencing_token fence);
    void check_start(const model_worker& worker, const worker_order& order);
    void commit(model_owner& owner);

    const options options_;
    const ownership_limits limits_;
    std::mt19937 random_;
    absl::Time now_ = absl::UnixEpoch() + absl::Seconds(1000);
    bool has_faults_ = true;
    std::optional<std::string> broken_;

    std::map<worker_id, model_worker> workers_;
    std::map<job_id, stored_job> jobs_;
    std::set<task_name> stored_done_;
    std::set<task_name> acknowledged_done_;
    std::map<task_name, std::set<run_number>> failed_;
    int next_worker_ = 0;
    int next_job_ = 0;

    bool is_store_up_ = true;
    absl::Time store_back_at_ = {};
    fencing_token owner_key_ = 0;
    absl::Time owner_key_ends_ = {};
    fencing_token last_fence_ = 10;
    std::int64_t term_ = 0;
    std::vector<std::unique_ptr<model_owner>> owners_;
};

}  // namespace masticpass

#endif
