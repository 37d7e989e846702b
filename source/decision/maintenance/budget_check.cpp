#include "decision/maintenance/budget_check.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace masticpass {

namespace {

template <typename Map>
int count_in(const Map& counts, const typename Map::key_type& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

bool exceeds(int count, const std::optional<int>& limit) {
    return limit.has_value() && count > *limit;
}

}  // namespace

bool is_unavailable_by_phase(const pool_vm& vm) {
    return counts_in_size(vm) && vm.phase != vm_phase::serving;
}

unavailable_vm_counts::unavailable_vm_counts(const pool_record& record, const unavailable_vms& observed,
                                             int minimum_vms) {
    int size = 0;
    for (const auto& [id, vm] : record.vms) {
        if (!counts_in_size(vm)) {
            continue;
        }
        ++size;
        if (is_unavailable_by_phase(vm) || observed.contains(id)) {
            add(vm);
        }
    }
    total_ += std::max(0, minimum_vms - size);
}

void unavailable_vm_counts::add(const pool_vm& vm) {
    ++total_;
    highest_in_zone_ = std::max(highest_in_zone_, ++zones_[vm.zone]);
    highest_in_rack_ = std::max(highest_in_rack_, ++racks_[vm.rack]);
}

int unavailable_vm_counts::in_zone(const zone_name& zone) const {
    return count_in(zones_, zone);
}

int unavailable_vm_counts::in_rack(const rack_name& rack) const {
    return count_in(racks_, rack);
}

std::optional<std::string> unavailable_vm_counts::exceeded_limit(const availability_budget& budget) const {
    if (total_ > budget.max_unavailable) {
        return absl::StrCat("max_unavailable is ", budget.max_unavailable, ", unavailable VMs: ", total_);
    }
    if (exceeds(highest_in_zone_, budget.max_unavailable_per_zone)) {
        return absl::StrCat("max_unavailable_per_zone is exceeded, unavailable VMs in one zone: ",
                            highest_in_zone_);
    }
    if (exceeds(highest_in_rack_, budget.max_unavailable_per_rack)) {
        return absl::StrCat("max_unavailable_per_rack is exceeded, unavailable VMs in one rack: ",
                            highest_in_rack_);
    }
    if (exceeds(static_cast<int>(zones_.size()), budget.max_zones_unavailable)) {
        return absl::StrCat("max_zones_unavailable is exceeded, zones with unavailable VMs: ", zones_.size());
    }
    if (exceeds(static_cast<int>(racks_.size()), budget.max_racks_unavailable)) {
        return absl::StrCat("max_racks_unavailable is exceeded, racks with unavailable VMs: ", racks_.size());
    }
    return std::nullopt;
}

bool unavailable_vm_counts::has_room_for(const pool_vm& vm, const availability_budget& budget) const {
    const int zone_count = in_zone(vm.zone);
    const int rack_count = in_rack(vm.rack);
    const int unavailable_zones = static_cast<int>(zones_.size()) + (zone_count == 0 ? 1 : 0);
    const int unavailable_racks = static_cast<int>(racks_.size()) + (rack_count == 0 ? 1 : 0);
    return total_ + 1 <= budget.max_unavailable &&
           !exceeds(std::max(highest_in_zone_, zone_count + 1), budget.max_unavailable_per_zone) &&
           !exceeds(std::max(highest_in_rack_, rack_count + 1), budget.max_unavailable_per_rack) &&
           !exceeds(unavailable_zones, budget.max_zones_unavailable) &&
           !exceeds(unavailable_racks, budget.max_racks_unavailable);
}

tl::expected<void, std::string> check_satisfiable(const pool_limits& limits, std::optional<int> vm_count) {
    const availability_budget& budget = limits.budget;
    const auto check_at_least_one = [](const char* name,
                                       std::optional<int> limit) -> std::optional<std::string> {
        if (limit.has_value() && *limit < 1) {
            return absl::StrCat(name, " ", *limit, " permits no maintenance; it must be at least 1");
        }
        return std::nullopt;
    };
    for (const auto& problem :
         {check_at_least_one("max_unavailable", budget.max_unavailable),
          check_at_least_one("max_unavailable_per_zone", budget.max_unavailable_per_zone),
          check_at_least_one("max_unavailable_per_rack", budget.max_unavailable_per_rack),
          check_at_least_one("max_zones_unavailable", budget.max_zones_unavailable),
          check_at_least_one("max_racks_unavailable", budget.max_racks_unavailable)}) {
        if (problem) {
            return tl::unexpected(*problem);
        }
    }
    const int missing = vm_count ? std::max(0, limits.minimum_vms - *vm_count) : 0;
    if (missing >= budget.max_unavailable) {
        return tl::unexpected(absl::StrCat("the pool has ", *vm_count, " VMs, but minimum_vms is ",
                                           limits.minimum_vms, "; the missing VMs use up max_unavailable ",
                                           budget.max_unavailable));
    }
    return {};
}

}  // namespace masticpass
