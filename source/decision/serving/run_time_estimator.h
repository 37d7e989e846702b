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
    // Mean, for the slot time that a request is expected to take.
    absl::Duration expected;
    // Median, for the question whether a deadline can be met.
    absl::Duration typical;
    // A high quantile, for the size class.
    absl::Duration high;
    size_class size = size_class::short_work;
    // False if the values come from a declaration or a default.
    bool measured = false;
};

struct estimator_options {
    // Run time up to which work is in the short class.
    absl::Duration short_limit = absl::Seconds(1);
    // Bounds the memory; the kind observed least recently is forgotten first.
    std::size_t max_kinds = 512;
    // Observations of a kind from which on its declarations are ignored.
    int min_observations = 3;
    double high_quantile = 0.9;
};

// Learns the run times of a service by job kind. Declared times count only while a kind has too few
// measurements, and are corrected by the ratio of measured to declared time over all kinds. Thread safety:
// none; the caller holds a lock.
class run_time_estimator {
public:
    explicit run_time_estimator(estimator_options options = {});

    run_time_estimate estimate(const job_kind& kind, std::optional<absl::Duration> declared) const;

    // Records a complete run.
    void observe(const job_kind& kind, std::optional<absl::Duration> declared, absl::Duration measured);

    // Records a run that was given up after `elapsed`. It counts only if it lasted longer than expected;
    // otherwise it says nothing about the run time.
    void observe_lower_bound(const job_kind& kind, std::optional<absl::Duration> declared,
                             absl::Duration elapsed);

    // Time without a response after which a connection is suspected to be silent.
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
    // Least recently observed kind last.
    std::list<job_kind> recency_;
    run_time_distribution all_kinds_;
    // Mean logarithm of measured to declared time; the logarithm weighs errors in both directions alike.
    double mean_log_ratio_ = 0.0;
    double ratio_weight_ = 0.0;
};

}  // namespace masticpass

#endif
