#ifndef MASTICPASS_APPLICATION_ENTRY_VM_H
#define MASTICPASS_APPLICATION_ENTRY_VM_H

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "settings/settings.h"

namespace masticpass {

struct entry_components;

// An entry VM with all its components, composed according to the settings. Ownership: owns all its servers,
// agents and connections. Thread safety: all methods must be called on one thread.
class entry_vm {
public:
    // Binds all addresses and starts the servers and agents. The error message says which address cannot be
    // used and why. The settings must be valid.
    static tl::expected<std::unique_ptr<entry_vm>, std::string> create(const settings& configured);

    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;
    ~entry_vm();

    // Stops without interrupting requests: lets the load balancer detect the stop, refuses new and queued
    // requests as not run, waits for the requests in flight, hands over the request identities and leaves the
    // allotment of the zone.
    void stop();

private:
    explicit entry_vm(std::unique_ptr<entry_components> owned_components);

    std::unique_ptr<entry_components> components_;
};

// Runs an entry VM until SIGTERM or SIGINT. Returns the exit code of the process.
int run_entry_vm(const settings& configured);

}  // namespace masticpass

#endif
