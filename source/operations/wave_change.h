#ifndef MASTICPASS_OPERATIONS_WAVE_CHANGE_H
#define MASTICPASS_OPERATIONS_WAVE_CHANGE_H

#include <optional>
#include <string>
#include <string_view>

#include "operations/fleet_service.h"

namespace masticpass {

// Reads running, paused or cancelled; nullopt for any other text.
std::optional<declared_wave_state> parse_wave_state(std::string_view text);

// The change that sets the state of a declared wave, based on the configuration in force; nullopt if the wave
// has that state already. Errors: not_found, or invalid for a cancelled wave, because its VMs may have been
// given back to service and its progress no longer counts.
operations_result<std::optional<configuration_change>> make_wave_change(const configuration_view& view,
                                                                        const wave_name& wave,
                                                                        declared_wave_state state,
                                                                        const std::string& author,
                                                                        const change_id& id);

}  // namespace masticpass

#endif
