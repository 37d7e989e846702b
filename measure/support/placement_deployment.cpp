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
        service_shape shape;
        shape.mean = deployment.mean_slots * draw(0.5, 1.5);
        shape.worth = draw(1, 3);
        shape.period_seconds = draw(8, 24) * 3600;
        shape.phase = draw(0, 1);
        services_.push_back(shape);
    }
    const int groups = (deployment.services + group_size - 1) / group_size;
    for (int group = 0; group < groups; ++group) {
        auto& turns = turns_.emplace_back();
        std::uint8_t active = 0;
        while (turns.size() < seconds) {
            turns.insert(turns.end(), static_cast<std::size_t>(draw(4, 13)), active);
            active = static_cast<std::uint8_t>((active + 1) % group_size);
        }
    }
}

double demand_trace::drifting_mean(int service, int second) const {
    constexpr double amplitude = 0.4;
    const auto& shape = services_[static_cast<std::size_t>(service)];
    return shape.mean *
           (1 + amplitude * std::sin(2 * std::numbers::pi * (second / shape.period_seconds + shape.phase)));
}

double demand_trace::demand(int service, int second, double drifting_mean) const {
    const auto& turns = turns_[static_cast<std::size_t>(service / group_size)];
    const bool bursts = turns[static_cast<std::size_t>(second)] == service % group_size;
    return drifting_mean * (bursts ? 5.0 : 0.05);
}

}  // namespace masticpass::measure
