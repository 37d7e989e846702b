#ifndef MASTICPASS_ROUTING_SERVER_DIRECTORY_H
#define MASTICPASS_ROUTING_SERVER_DIRECTORY_H

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "common/identifier.h"
#include "vm/vm_list.h"

namespace masticpass {

// The state of a backend server as known to this entry VM.
struct server_state {
    vm_id vm;
    zone_name zone;
    rack_name rack;
    boot_id boot;
    std::string address;
    // The pool whose role the VM runs, according to the VM list.
    pool_name role;
    bool listed_live = false;
    // Whether any source has reported that the server is leaving. Reset when the VM list has a new boot
    // identity.
    bool leaving = false;
    bool unreachable = false;
    bool ejected = false;

    bool accepts_work() const { return listed_live && !leaving && !unreachable && !ejected; }
};

// The known backend servers and their states, from the VM list, probes, response headers and peers.
// Thread safety: all methods may be called from any thread.
class server_directory {
public:
    // Applies a VM list. A VM that is missing from the list keeps its last state, since its absence does not
    // prove that it is terminated.
    void update(const vm_listing& listing);

    // Records that a response, a probe or a peer reported the VM as leaving in its boot `boot`. Returns
    // whether this changed the state of the VM.
    bool mark_leaving(const vm_id& vm, const boot_id& boot);

    void set_unreachable(const vm_id& vm, bool unreachable);
    // Marks these servers as ejected and all others as not ejected.
    void set_ejected(const std::set<vm_id>& ejected);

    // Increases with every change of a server and with every applied VM list.
    std::uint64_t version() const { return version_; }

    std::optional<server_state> find(const vm_id& vm) const;
    std::vector<server_state> servers() const;
    // The servers that are leaving, unreachable or ejected.
    std::vector<server_state> impaired() const;
    std::map<vm_id, std::string> addresses() const;

private:
    void set(bool& flag, bool value) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    std::atomic<std::uint64_t> version_ = 0;
    mutable absl::Mutex mutex_;
    std::map<vm_id, server_state> servers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
