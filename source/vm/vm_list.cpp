#include "vm/vm_list.h"

namespace masticpass {

std::string_view to_string(vm_state state) {
    switch (state) {
        case vm_state::live:
            return "live";
        case vm_state::leaving:
            return "leaving";
        case vm_state::terminated:
            return "terminated";
    }
    return "live";
}

std::optional<vm_state> parse_vm_state(std::string_view text) {
    for (const auto state : {vm_state::live, vm_state::leaving, vm_state::terminated}) {
        if (to_string(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

}  // namespace masticpass
