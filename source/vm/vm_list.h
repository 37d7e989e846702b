#ifndef MASTICPASS_VM_VM_LIST_H
#define MASTICPASS_VM_VM_LIST_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "common/identifier.h"

namespace masticpass {

// The state of a VM in the platform's list. `terminated` is final for a VM id.
enum class vm_state { live, leaving, terminated };

std::string_view to_string(vm_state state);

// Parses the name that to_string(vm_state) returns; nullopt for any other text.
std::optional<vm_state> parse_vm_state(std::string_view text);

struct listed_vm {
    vm_id vm;
    zone_name zone;
    rack_name rack;
    // IP address and port of the backend server on the VM.
    std::string address;
    boot_id boot;
    // The pool whose role the VM has run since its boot. The VM belongs to the pool whose record contains it,
    // which may be another one.
    pool_name pool;
    vm_state state = vm_state::live;
};

// A VM that was skipped because a member that pool records and budgets require is missing in the platform's
// list.
struct skipped_vm {
    vm_id vm;
    // Name of the missing member.
    std::string missing;

    friend bool operator==(const skipped_vm&, const skipped_vm&) = default;
};

struct vm_listing {
    // Increases with every change of the list.
    std::int64_t index = 0;
    // All VMs have a zone, a rack, an address and a boot identity, except for terminated ones.
    std::vector<listed_vm> vms;
    std::vector<skipped_vm> skipped = {};
};

struct [[nodiscard]] vm_list_error {
    std::string message;
};

// The platform's list of VMs. It is updated with a delay, so a VM that it lists as live may already be
// leaving. A VM that is missing in the list need not be terminated. Thread safety: all methods may be called
// from any thread.
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    // Returns the VMs of a zone, or of all zones if `zone` is empty; nullopt if the list still has the index
    // `known_index`. Returns within the timeout of the implementation.
    virtual tl::expected<std::optional<vm_listing>, vm_list_error> list(
        const zone_name& zone, std::optional<std::int64_t> known_index) = 0;
};

}  // namespace masticpass

#endif
