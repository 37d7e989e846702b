#ifndef MASTICPASS_DECISION_SERVING_RUN_TIME_ESTIMATOR_H
#define MASTICPASS_DECISION_SERVING_RUN_TIME_ESTIMATOR_H

#include <cstddef>
#include <list>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"
#include "decision/serving/run_time_distribution.h"

namespace masticpass {

enum class size_class { short_work, long_work };

struct run_time_estimate {
    // Mean, used as the expected slot time of a request.
    absl::Duration expected;
    // Median, used to decide whether a deadline can be met.
    absl::Duration typical;
    // A high quantile, used to choose the size class.
    absl::Duration high;
    size_class size = size_class::short_work;
    // False if the values do not come from enough measurements of this job kind.
    bool measured = false;
};

struct estimator_options {
    // Maximum run time of the short class.
    absl::Duration maximum_short_run_time = absl::Seconds(1);
    // Bounds memory use; the least recently observed kind is evicted first.
    std::size_t maximum_kinds = 512;
    // Number of observations of a kind from which on declared run times are ignored.
    int minimum_observations = 3;
    double high_quantile = 0.9;
};

// Estimates the run times of a service by job kind from its measurements. Declared times are used only while
// a kind has too few measurements, and are corrected by the ratio of measured to declared time over all
// kinds. Thread safety: none; the caller holds a lock.
class run_time_estimator {
public:
    explicit run_time_estimator(estimator_options options = {});

    run_time_estimate estimate(const job_kind& kind, std::optional<absl::Duration> declared) const;

    // Records the run time of a completed run.
    void observe(const job_kind& kind, std::optional<absl::Duration> declared, absl::Duration measured);

    // Records a run that was abandoned after `elapsed`. It is ignored unless it lasted longer than expected,
    // since a shorter lower bound carries no information about the run time.
    void observe_lower_bound(const job_kind& kind, std::optional<absl::Duration> declared,
                             absl::Duration elapsed);

    // Time without a response after which the server is queried for the state of an attempt.
    absl::Duration overdue_after(const job_kind& kind, std::optional<absl::Duration> declared) const;

    std::size_t kind_count() const { return kinds_.size(); }
    const estimator_options& options() const { return options_; }

private:
    struct kind_statistics {
        run_time_distribution distribution;
        std::list<job_kind>::iterator recency;
    };

    run_time_distribution& distribution_of(const job_kind& kind);
    run_time_estimate estimate_from(const run_time_distribution& distribution) const;
    double declared_time_correction() const;

    estimator_options options_;
    absl::flat_hash_map<job_kind, kind_statistics> kinds_;
    // Job kinds, the most recently observed first.
    std::list<job_kind> recency_;
    run_time_distribution all_kinds_;
    // Mean logarithm of the ratio of measured to declared time. The logarithm gives equal weight to
    // overestimates and underestimates.
    double mean_log_ratio_ = 0.0;
    double ratio_weight_ = 0.0;
};

}  // namespace masticpass

#endif
