#include "decision/maintenance/pool_record.h"

#include <algorithm>
#include <array>

namespace masticpass {

namespace {

constexpr std::array<std::string_view, 6> vm_phase_names = {"serving", "reserved",   "acting",
                                                            "failed",  "moving_out", "incoming"};

}  // namespace

std::string_view to_string(vm_phase phase) {
    return vm_phase_names.at(static_cast<std::size_t>(phase));
}

std::optional<vm_phase> parse_vm_phase(std::string_view text) {
    const auto found = std::find(vm_phase_names.begin(), vm_phase_names.end(), text);
    if (found == vm_phase_names.end()) {
        return std::nullopt;
    }
    return static_cast<vm_phase>(found - vm_phase_names.begin());
}

bool counts_in_size(const pool_vm& vm) {
    return vm.phase != vm_phase::incoming && !vm.joining;
}

int pool_size(const pool_record& record) {
    return static_cast<int>(std::count_if(record.vms.begin(), record.vms.end(),
                                          [](const auto& item) { return counts_in_size(item.second); }));
}

bool is_own_write(const pool_record& stored, const change_id& change, const incarnation_id& writer) {
    return stored.last_change == change && stored.last_writer == writer;
}

}  // namespace masticpass
