#include "decision/placement/quota_check.h"

namespace masticpass {

int quota_usage(const placement_pool& pool) {
    return static_cast<int>(pool.vms.size());
}

std::vector<quota_excess> find_quota_excesses(absl::Span<const team_quota> quotas,
                                              absl::Span<const placement_pool> pools) {
    absl::flat_hash_map<team_name, int> used;
    for (const auto& pool : pools) {
        used[pool.team] += quota_usage(pool);
    }
    std::vector<quota_excess> excesses;
    for (const auto& quota : quotas) {
        const auto found = used.find(quota.team);
        if (found != used.end() && found->second > quota.quota_vms) {
            excesses.push_back({quota.team, quota.quota_vms, found->second});
        }
    }
    return excesses;
}

void quota_tracker::set_quotas(absl::Span<const team_quota> quotas) {
    quota_vms_.clear();
    for (const auto& quota : quotas) {
        quota_vms_[quota.team] = quota.quota_vms;
    }
}

void quota_tracker::add_usage(const team_name& team, int vms) {
    used_vms_[team] += vms;
}

bool quota_tracker::permits_move(const team_name& from, const team_name& to) const {
    const auto quota = quota_vms_.find(to);
    if (from == to || quota == quota_vms_.end()) {
        return true;
    }
    const auto used = used_vms_.find(to);
    return (used == used_vms_.end() ? 0 : used->second) < quota->second;
}

void quota_tracker::count_move(const team_name& from, const team_name& to) {
    if (from != to) {
        add_usage(to, 1);
    }
}

}  // namespace masticpass
