#include "decision/serving/leaving_servers.h"

#include <algorithm>

namespace masticpass {
namespace {

// Number of replaced boots remembered for a VM. A report of an older boot would be accepted by mistake.
constexpr std::size_t remembered_boots = 8;

}  // namespace

void leaving_servers::mark_leaving(const vm_id& server, const boot_id& boot) {
    server_state& state = servers_[server];
    if (!boot.empty() && state.was_replaced(boot)) {
        return;
    }
    observe_boot(server, boot);
    state.leaving = true;
}

void leaving_servers::observe_boot(const vm_id& server, const boot_id& boot) {
    server_state& state = servers_[server];
    if (boot.empty() || boot == state.current || state.was_replaced(boot)) {
        return;
    }
    if (state.current.empty()) {
        // A mark without a boot identity may concern this boot, so it stays.
        state.current = boot;
        return;
    }
    state.replaced.push_back(state.current);
    if (state.replaced.size() > remembered_boots) {
        state.replaced.pop_front();
    }
    state.current = boot;
    state.leaving = false;
}

bool leaving_servers::is_leaving(const vm_id& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.leaving;
}

boot_id leaving_servers::current_boot(const vm_id& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? boot_id() : found->second.current;
}

bool leaving_servers::server_state::was_replaced(const boot_id& boot) const {
    return std::find(replaced.begin(), replaced.end(), boot) != replaced.end();
}

}  // namespace masticpass
