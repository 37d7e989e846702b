#include "support/serving_trace.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace masticpass::measure {
namespace {

using generator = boost::random::mt19937_64;

constexpr int short_kinds = 12;
constexpr int long_kinds = 8;
constexpr double overlong_factor = 50.0;

struct kind_profile {
    std::string name;
    double run_time = 0.0;
    double worth = 1.0;
    bool is_short = false;
};

double uniform(generator& random, double from, double to) {
    return from + (to - from) * boost::random::uniform_01<double>()(random);
}

double log_uniform(generator& random, double from, double to) {
    return std::exp(uniform(random, std::log(from), std::log(to)));
}

std::vector<kind_profile> make_kinds(generator& random) {
    std::vector<kind_profile> kinds;
    for (int index = 0; index < short_kinds + long_kinds; ++index) {
        const bool is_short = index < short_kinds;
        const double run_time = is_short ? log_uniform(random, 0.05, 0.6) : log_uniform(random, 2.0, 8.0);
        // Larger jobs are worth more, but not in proportion.
        const double worth = std::pow(run_time, 0.7) * log_uniform(random, 0.4, 2.5);
        kinds.push_back({absl::StrCat("kind-", index), run_time, worth, is_short});
    }
    return kinds;
}

bool in_burst(const trace_options& options, double time) {
    const double phase = std::fmod(time - options.burst_start + options.burst_period, options.burst_period);
    return phase < options.burst_length;
}

traced_job make_job(const trace_options& options, const kind_profile& kind, double arrival,
                    generator& random) {
    const double spread = options.spread;
    traced_job job{.arrival = arrival, .kind = kind.name, .short_kind = kind.is_short};
    // This mean of the logarithm makes the mean run time equal to the run time of the kind.
    job.run_time = kind.run_time *
                   std::exp(boost::random::normal_distribution<double>(-spread * spread / 2, spread)(random));
    const bool is_overlong = boost::random::bernoulli_distribution<double>(options.overlong_share)(random);
    job.run_time *= is_overlong ? overlong_factor : 1.0;
    const bool is_inaccurate = boost::random::bernoulli_distribution<double>(0.5)(random);
    job.declared_run_time = job.run_time * (is_inaccurate ? log_uniform(random, 0.1, 10.0) : 1.0);
    job.worth = kind.worth * log_uniform(random, 0.5, 2.0);
    const double time_to_deadline = kind.is_short ? uniform(random, 2.0, 10.0) : uniform(random, 20.0, 90.0);
    job.deadline = arrival + time_to_deadline * options.deadline_factor;
    job.repeatable = boost::random::bernoulli_distribution<double>(0.5)(random);
    return job;
}

}  // namespace

serving_trace make_trace(const trace_options& options) {
    generator random(options.seed);
    const std::vector<kind_profile> kinds = make_kinds(random);
    serving_trace trace{.jobs = {}, .faults = {}, .servers = options.servers, .horizon = options.horizon};
    double short_mean = 0.0;
    double long_mean = 0.0;
    for (const kind_profile& kind : kinds) {
        (kind.is_short ? short_mean : long_mean) += kind.run_time;
    }
    const double short_rate = options.short_share / (short_mean / short_kinds);
    const double long_rate = (1.0 - options.short_share) / (long_mean / long_kinds);
    const double burst_rate = options.burst_load * trace.slots() * (short_rate + long_rate);
    for (double time = 0.0;;) {
        // Thinning: candidate arrivals are generated at the burst rate, and most of those between bursts are
        // dropped.
        time += boost::random::exponential_distribution<double>(burst_rate)(random);
        if (time >= options.horizon) {
            break;
        }
        const double keep_probability = in_burst(options, time) ? 1.0 : options.idle_share;
        if (!boost::random::bernoulli_distribution<double>(keep_probability)(random)) {
            continue;
        }
        const bool is_short =
            boost::random::bernoulli_distribution<double>(short_rate / (short_rate + long_rate))(random);
        const int index =
            is_short ? boost::random::uniform_int_distribution<>(0, short_kinds - 1)(random)
                     : short_kinds + boost::random::uniform_int_distribution<>(0, long_kinds - 1)(random);
        trace.jobs.push_back(make_job(options, kinds[static_cast<std::size_t>(index)], time, random));
    }
    if (options.faults) {
        for (int server = 0; server < std::max(1, options.servers / 5); ++server) {
            const double from = uniform(random, 0.0, options.horizon / 2);
            trace.faults.push_back({server, from, from + options.horizon / 3});
        }
    }
    return trace;
}

}  // namespace masticpass::measure
