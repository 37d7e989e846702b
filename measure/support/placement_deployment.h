#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_DEPLOYMENT_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_DEPLOYMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace masticpass::measure {

// What a deployment looks like and what counts there.
struct placement_deployment {
    std::string name;
    int services = 5;
    int zones = 3;
    // Mean demand of a service in slots, before its weight.
    double mean_slots = 64;
    // Work that would wait longer is refused and counts as late. Short where the wait matters most.
    double maximum_wait_seconds = 30;
    // Share of the worth that must be on time, equal for all policies.
    double on_time = 0.995;
};

// A demand trace of a deployment: all figures come from the seed.
// Each group of 5 services bursts in turn: one asks for 5 times its mean for 4 to 12 s, the others for a
// twentieth of their mean. The mean drifts by 40% up and down over 8 to 24 h.
class demand_trace {
public:
    static constexpr int seconds = 24 * 3600;

    demand_trace(const placement_deployment& deployment, std::uint64_t seed);

    int services() const { return static_cast<int>(services_.size()); }
    // Long-term mean in slots, which an operator knows from experience.
    double mean(int service) const { return services_[static_cast<std::size_t>(service)].mean; }
    double worth(int service) const { return services_[static_cast<std::size_t>(service)].worth; }
    // The mean that holds at a second.
    double drifting_mean(int service, int second) const;
    // Demand at a second, given the drifting mean at about that second.
    double demand(int service, int second, double drifting_mean) const;

    // Times of the failures, the same for every policy.
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
    // Which service of its group bursts, per group and second.
    std::vector<std::vector<std::uint8_t>> bursting_services_;
};

}  // namespace masticpass::measure

#endif
