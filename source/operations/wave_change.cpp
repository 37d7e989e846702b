#include "operations/wave_change.h"

#include <utility>

namespace masticpass {

std::optional<declared_wave_state> parse_wave_state(std::string_view text) {
    if (text == "running") {
        return declared_wave_state::running;
    }
    if (text == "paused") {
        return declared_wave_state::paused;
    }
    if (text == "cancelled") {
        return declared_wave_state::cancelled;
    }
    return std::nullopt;
}

operations_result<std::optional<configuration_change>> make_wave_change(const configuration_view& view,
                                                                        const wave_name& wave,
                                                                        declared_wave_state state,
                                                                        const std::string& author,
                                                                        const change_id& id) {
    const auto found = view.configuration.waves.find(wave);
    if (found == view.configuration.waves.end()) {
        return tl::unexpected(
            operations_error{.code = operations_error_code::not_found,
                             .message = "the configuration has no wave '" + wave.value() + "'"});
    }
    if (found->second.state == state) {
        return std::optional<configuration_change>();
    }
    if (found->second.state == declared_wave_state::cancelled) {
        return tl::unexpected(
            operations_error{.code = operations_error_code::invalid,
                             .message = "a cancelled wave cannot be resumed or paused; declare a new wave"});
    }
    configuration_change change;
    change.id = id;
    change.author = author;
    change.base_revision = view.revision;
    change.set.waves[wave] = found->second;
    change.set.waves[wave].state = state;
    return std::optional(std::move(change));
}

}  // namespace masticpass
