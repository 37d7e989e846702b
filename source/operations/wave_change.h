#ifndef MASTICPASS_OPERATIONS_WAVE_CHANGE_H
#define MASTICPASS_OPERATIONS_WAVE_CHANGE_H

#include <optional>
#include <string>
#include <string_view>

#include "operations/fleet_service.h"

namespace masticpass {

// Parses running, paused or cancelled. Returns nullopt for any other text.
std::optional<declared_wave_state> parse_wave_state(std::string_view text);

// Returns the change that sets the state of a declared wave, based on the configuration in force; nullopt if
// the wave already has that state. Errors: not_found; invalid if the wave is cancelled, because its VMs may
// have returned to service and its progress no longer counts.
operations_result<std::optional<configuration_change>> make_wave_change(const configuration_view& view,
                                                                        const wave_name& wave,
                                                                        declared_wave_state state,
                                                                        const std::string& author,
                                                                        const change_id& id);

}  // namespace masticpass

#endif
