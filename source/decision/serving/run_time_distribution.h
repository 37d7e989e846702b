#ifndef MASTICPASS_DECISION_SERVING_RUN_TIME_DISTRIBUTION_H
#define MASTICPASS_DECISION_SERVING_RUN_TIME_DISTRIBUTION_H

#include <tuple>
#include <vector>

#include <absl/time/time.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace masticpass {

// Histogram of run times from 1 ms to 10,000 s with a resolution of about 20%. Old observations lose weight,
// so that the histogram follows changes. Thread safety: none; the caller holds a lock.
class run_time_distribution {
public:
    run_time_distribution();

    void observe(absl::Duration measured);

    // Zero if there are no observations.
    absl::Duration quantile(double share) const;
    absl::Duration mean() const;
    // Sum of the weights of all observations.
    double weight() const { return weight_; }

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                      boost::histogram::axis::null_type>;
    using storage_type = boost::histogram::dense_storage<float>;

    boost::histogram::histogram<std::tuple<axis_type>, storage_type> counts_;
    double weight_ = 0.0;
    double weighted_seconds_ = 0.0;
};

}  // namespace masticpass

#endif
