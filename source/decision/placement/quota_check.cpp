#include "decision/placement/quota_check.h"

namespace masticpass {

int quota_use(const placement_pool& pool) {
    return static_cast<int>(pool.vms.size());
}

std::vector<quota_excess> quota_check(absl::Span<const team_quota> quotas,
                                      absl::Span<const placement_pool> pools) {
    absl::flat_hash_map<team_name, int> used;
    for (const auto& pool : pools) {
        used[pool.team] += quota_use(pool);
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

void quota_ledger::set_quotas(absl::Span<const team_quota> quotas) {
    quota_.clear();
    for (const auto& quota : quotas) {
        quota_[quota.team] = quota.quota_vms;
    }
}

void quota_ledger::add_use(const team_name& team, int vms) {
    used_[team] += vms;
}

bool quota_ledger::permits_move(const team_name& from, const team_name& to) const {
    const auto quota = quota_.find(to);
    if (from == to || quota == quota_.end()) {
        return true;
    }
    const auto used = used_.find(to);
    return (used == used_.end() ? 0 : used->second) < quota->second;
}

void quota_ledger::count_move(const team_name& from, const team_name& to) {
    if (from != to) {
        add_use(to, 1);
    }
}

}  // namespace masticpass
