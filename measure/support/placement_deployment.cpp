#include "support/placement_deployment.h"

#include <cmath>
#include <numbers>
#include <random>

namespace masticpass::measure {

demand_trace::demand_trace(const placement_deployment& deployment, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    for (int service = 0; service < deployment.services; ++service) {
        service_profile profile;
        profile.mean = deployment.mean_slots * draw(0.5, 1.5);
        profile.worth = draw(1, 3);
        profile.period_seconds = draw(8, 24) * 3600;
        profile.phase = draw(0, 1);
        services_.push_back(profile);
    }
    const int groups = (deployment.services + group_size - 1) / group_size;
    for (int group = 0; group < groups; ++group) {
        auto& bursting_services = bursting_services_.emplace_back();
        std::uint8_t bursting_service = 0;
        while (bursting_services.size() < seconds) {
            bursting_services.insert(bursting_services.end(), static_cast<std::size_t>(draw(4, 13)),
                                     bursting_service);
            bursting_service = static_cast<std::uint8_t>((bursting_service + 1) % group_size);
        }
    }
}

double demand_trace::drifting_mean(int service, int second) const {
    constexpr double amplitude = 0.4;
    const auto& profile = services_[static_cast<std::size_t>(service)];
    return profile.mean * (1 + amplitude * std::sin(2 * std::numbers::pi *
                                                    (second / profile.period_seconds + profile.phase)));
}

double demand_trace::demand(int service, int second, double drifting_mean) const {
    const auto& bursting_services = bursting_services_[static_cast<std::size_t>(service / group_size)];
    const bool is_bursting = bursting_services[static_cast<std::size_t>(second)] == service % group_size;
    return drifting_mean * (is_bursting ? 5.0 : 0.05);
}

}  // namespace masticpass::measure
