#ifndef MASTICPASS_COMMON_AVAILABILITY_BUDGET_H
#define MASTICPASS_COMMON_AVAILABILITY_BUDGET_H

#include <optional>

namespace masticpass {

// How much of a pool may be unavailable at the same time. A limit that is not set does not apply.
struct availability_budget {
    int max_unavailable = 1;
    std::optional<int> max_unavailable_per_zone = std::nullopt;
    std::optional<int> max_unavailable_per_rack = std::nullopt;
    // Zones or racks that may have unavailable VMs at the same time.
    std::optional<int> max_zones_unavailable = std::nullopt;
    std::optional<int> max_racks_unavailable = std::nullopt;

    friend bool operator==(const availability_budget&, const availability_budget&) = default;
};

}  // namespace masticpass

#endif
