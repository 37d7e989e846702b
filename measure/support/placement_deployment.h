#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_DEPLOYMENT_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_DEPLOYMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace masticpass::measure {

// The size and the demand of a deployment and the service that is required there.
struct placement_deployment {
    std::string name;
    int services = 5;
    int zones = 3;
    // Mean demand of a service in slots. The trace multiplies it by a random factor from 0.5 to 1.5 for each
    // service.
    double mean_slots = 64;
    // Work that would wait longer is refused and counts as late. Deployments in which the wait matters most
    // have a short one.
    double maximum_wait_seconds = 30;
    // Share of the worth that must be served on time. It is the same for all strategies.
    double on_time = 0.995;
};

// The demand of a deployment over 24 h. It depends only on the deployment and the seed. The 5 services of a
// group take turns with bursts: one of them demands 5 times its mean for 4 to 12 s, and the others a
// twentieth of theirs. Each mean varies by 40% in both directions with a period of 8 to 24 h.
class demand_trace {
public:
    static constexpr int seconds = 24 * 3600;

    demand_trace(const placement_deployment& deployment, std::uint64_t seed);

    int services() const { return static_cast<int>(services_.size()); }
    // The long-term mean in slots. The strategies may use it, since operators know it from experience.
    double mean(int service) const { return services_[static_cast<std::size_t>(service)].mean; }
    double worth(int service) const { return services_[static_cast<std::size_t>(service)].worth; }
    // The mean demand at a second, including its drift.
    double drifting_mean(int service, int second) const;
    // The demand at a second. `drifting_mean` is the value of drifting_mean() at about that second.
    double demand(int service, int second, double drifting_mean) const;

    // Times of the failures, which are the same for every strategy.
    int rack_lost_at() const { return 7 * 3600; }
    int rack_restored_at() const { return 8 * 3600; }
    int zone_lost_at() const { return 15 * 3600; }
    int zone_restored_at() const { return 15 * 3600 + 1200; }

private:
    static constexpr int group_size = 5;

    struct service_profile {
        double mean = 0;
        double worth = 1;
        double period_seconds = 0;
        double phase = 0;
    };

    std::vector<service_profile> services_;
    // For each group and second, the index of the bursting service within the group.
    std::vector<std::vector<std::uint8_t>> bursting_services_;
};

}  // namespace masticpass::measure

#endif
