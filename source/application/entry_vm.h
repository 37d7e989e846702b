#ifndef MASTICPASS_APPLICATION_ENTRY_VM_H
#define MASTICPASS_APPLICATION_ENTRY_VM_H

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "settings/settings.h"

namespace masticpass {

struct entry_components;

// One entry VM: all packages, composed from the settings.
// Ownership: owns all its servers, agents and connections.
// Thread safety: all methods on one thread.
class entry_vm {
public:
    // Binds all addresses and starts. The error says which address cannot be used and why. Precondition: the
    // settings are checked.
    static tl::expected<std::unique_ptr<entry_vm>, std::string> create(const settings& configured);

    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;
    ~entry_vm();

    // Stops without cutting a request: tells the balancer, refuses new and queued requests as not run, waits
    // for those in flight, and leaves the zone's allotment.
    void stop();

private:
    explicit entry_vm(std::unique_ptr<entry_components> owned_components);

    std::unique_ptr<entry_components> components_;
};

// Runs an entry VM until SIGTERM or SIGINT. Returns the exit code of the process.
int run_entry_vm(const settings& configured);

}  // namespace masticpass

#endif
