#include "support/wave_bound.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace masticpass::measure {

namespace {

struct domain_limits {
    int most_in_domain = std::numeric_limits<int>::max();
    int most_domains = std::numeric_limits<int>::max();
};

// The most VMs that may be maintained at once as far as one kind of domain (zone or rack) limits it. `size`
// and `failed` count VMs by domain.
template <typename Domain>
int most_by_domain(const std::map<Domain, int>& size, const std::map<Domain, int>& failed,
                   const domain_limits& limits) {
    int sum = 0;
    std::vector<int> closed;
    for (const auto& [domain, count] : size) {
        const auto found = failed.find(domain);
        const int out = found == failed.end() ? 0 : found->second;
        const int room = std::max(0, std::min(limits.most_in_domain, count) - out);
        if (out > 0) {
            sum += room;
        } else {
            closed.push_back(room);
        }
    }
    std::sort(closed.begin(), closed.end(), std::greater<>());
    const int may_open = std::max(0, limits.most_domains - static_cast<int>(failed.size()));
    for (int index = 0; index < std::min<int>(may_open, static_cast<int>(closed.size())); ++index) {
        sum += closed.at(static_cast<std::size_t>(index));
    }
    return sum;
}

int most_at_once(const pool_record& record, const availability_budget& budget,
                 const std::set<vm_id>& failed) {
    std::map<zone_name, int> zone_size;
    std::map<zone_name, int> zone_failed;
    std::map<rack_name, int> rack_size;
    std::map<rack_name, int> rack_failed;
    for (const auto& [id, vm] : record.vms) {
        ++zone_size[vm.zone];
        ++rack_size[vm.rack];
        if (failed.contains(id)) {
            ++zone_failed[vm.zone];
            ++rack_failed[vm.rack];
        }
    }
    constexpr int unlimited = std::numeric_limits<int>::max();
    const domain_limits zones{budget.max_unavailable_per_zone.value_or(unlimited),
                              budget.max_zones_unavailable.value_or(unlimited)};
    const domain_limits racks{budget.max_unavailable_per_rack.value_or(unlimited),
                              budget.max_racks_unavailable.value_or(unlimited)};
    const int by_total = std::max(0, budget.max_unavailable - static_cast<int>(failed.size()));
    return std::min({by_total, most_by_domain(zone_size, zone_failed, zones),
                     most_by_domain(rack_size, rack_failed, racks)});
}

}  // namespace

int wave_bound(const pool_record& record, const availability_budget& budget, absl::Span<const outage> outages,
               int seconds_per_vm) {
    std::set<int> changes = {0};
    for (const outage& out : outages) {
        changes.insert(out.begin);
        changes.insert(out.end);
    }
    const auto work = static_cast<std::int64_t>(record.vms.size()) * seconds_per_vm;
    std::int64_t done = 0;
    for (auto change = changes.begin(); change != changes.end(); ++change) {
        std::set<vm_id> failed;
        for (const outage& out : outages) {
            if (record.vms.contains(out.vm) && out.begin <= *change && *change < out.end) {
                failed.insert(out.vm);
            }
        }
        const std::int64_t at_once = most_at_once(record, budget, failed);
        const auto next = std::next(change);
        const bool is_last = next == changes.end();
        if (is_last || done + at_once * (*next - *change) >= work) {
            return *change +
                   static_cast<int>((work - done + at_once - 1) / std::max<std::int64_t>(at_once, 1));
        }
        done += at_once * (*next - *change);
    }
    return 0;
}

}  // namespace masticpass::measure
