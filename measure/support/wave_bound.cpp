#include "support/wave_bound.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace masticpass::measure {

namespace {

struct domain_limits {
    int maximum_per_domain = std::numeric_limits<int>::max();
    int maximum_domains = std::numeric_limits<int>::max();
};

// The maximum number of VMs that may be maintained at once under the limits for one kind of failure domain
// (zones or racks). `size` and `failed` are the numbers of all VMs and of failed VMs by domain.
template <typename Domain>
int maximum_by_domain(const std::map<Domain, int>& size, const std::map<Domain, int>& failed,
                      const domain_limits& limits) {
    int sum = 0;
    std::vector<int> unaffected;
    for (const auto& [domain, count] : size) {
        const auto found = failed.find(domain);
        const int unavailable = found == failed.end() ? 0 : found->second;
        const int capacity = std::max(0, std::min(limits.maximum_per_domain, count) - unavailable);
        if (unavailable > 0) {
            sum += capacity;
        } else {
            unaffected.push_back(capacity);
        }
    }
    std::sort(unaffected.begin(), unaffected.end(), std::greater<>());
    const int additional_domains = std::max(0, limits.maximum_domains - static_cast<int>(failed.size()));
    for (int index = 0; index < std::min<int>(additional_domains, static_cast<int>(unaffected.size()));
         ++index) {
        sum += unaffected.at(static_cast<std::size_t>(index));
    }
    return sum;
}

int maximum_at_once(const pool_record& record, const availability_budget& budget,
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
    return std::min({by_total, maximum_by_domain(zone_size, zone_failed, zones),
                     maximum_by_domain(rack_size, rack_failed, racks)});
}

}  // namespace

int wave_bound(const pool_record& record, const availability_budget& budget, absl::Span<const outage> outages,
               int seconds_per_vm) {
    std::set<int> change_times = {0};
    for (const outage& period : outages) {
        change_times.insert(period.begin);
        change_times.insert(period.end);
    }
    const auto work = static_cast<std::int64_t>(record.vms.size()) * seconds_per_vm;
    std::int64_t done = 0;
    for (auto time = change_times.begin(); time != change_times.end(); ++time) {
        std::set<vm_id> failed;
        for (const outage& period : outages) {
            if (record.vms.contains(period.vm) && period.begin <= *time && *time < period.end) {
                failed.insert(period.vm);
            }
        }
        const std::int64_t at_once = maximum_at_once(record, budget, failed);
        const auto next = std::next(time);
        const bool is_last = next == change_times.end();
        if (is_last || done + at_once * (*next - *time) >= work) {
            return *time + static_cast<int>((work - done + at_once - 1) / std::max<std::int64_t>(at_once, 1));
        }
        done += at_once * (*next - *time);
    }
    return 0;
}

}  // namespace masticpass::measure
