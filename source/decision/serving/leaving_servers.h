#ifndef MASTICPASS_DECISION_SERVING_LEAVING_SERVERS_H
#define MASTICPASS_DECISION_SERVING_LEAVING_SERVERS_H

#include <deque>

#include <absl/container/flat_hash_map.h>

#include "common/identifier.h"

namespace masticpass {

// Servers that are leaving and get no new work. Any source suffices to mark a server; only a newer boot
// identity ends the state, because each source may report old data. Thread safety: none; the caller holds a
// lock.
class leaving_servers {
public:
    // `boot` is the boot that the report concerns; empty if the source does not name one, which means the
    // current boot.
    void mark_leaving(const vm_id& server, const boot_id& boot);

    // Records the boot identity that a source reports. One that was replaced before is ignored.
    void observe_boot(const vm_id& server, const boot_id& boot);

    bool is_leaving(const vm_id& server) const;

    // The last boot identity; empty if none was observed.
    boot_id current_boot(const vm_id& server) const;

    // Forgets a server whose VM is terminated.
    void forget(const vm_id& server) { servers_.erase(server); }

private:
    struct server_state {
        boot_id current;
        // Boot identities that were replaced, oldest first.
        std::deque<boot_id> replaced;
        bool leaving = false;

        bool was_replaced(const boot_id& boot) const;
    };

    absl::flat_hash_map<vm_id, server_state> servers_;
};

}  // namespace masticpass

#endif
