#include <memory>
#include <string>
#include <vector>

#include "application/command_context.h"

namespace masticpass {

namespace {

struct wave_options {
    std::string name;
    std::vector<std::string> pools;
    change_options change;
};

operations_result<Json::Value> with_retry_hint(operations_result<Json::Value> result,
                                               const wave_options& options) {
    if (!result && result.error().code == operations_error_code::unknown_outcome) {
        result.error().message += "; repeat the command with --change-id " + options.change.id;
    }
    return result;
}

operations_result<Json::Value> declare_wave(const operations_client& client, const wave_options& options) {
    const auto shown = client.show_configuration();
    if (!shown) {
        return tl::unexpected(shown.error());
    }
    const Json::Value& revision = (*shown)["revision"];
    if (!revision.isInt64() || !(*shown)["sections"].isObject()) {
        return tl::unexpected(operations_error{.code = operations_error_code::unavailable,
                                               .message = "the entry VM returned no configuration revision"});
    }
    configuration_change change;
    change.id = change_id(options.change.id);
    change.author = options.change.author;
    // An existing wave is not replaced: base revision 0 leads to a conflict, unless the wave was declared by
    // a change with the same id.
    const bool exists = (*shown)["sections"].isMember("wave/" + options.name);
    change.base_revision = exists ? 0 : revision.asInt64();
    wave_section& wave = change.set.waves[wave_name(options.name)];
    for (const std::string& pool : options.pools) {
        wave.pools.emplace_back(pool);
    }
    return with_retry_hint(client.propose_change(change), options);
}

void add_state_command(CLI::App& group, command_context& context, const std::string& name,
                       const std::string& state, const std::string& description) {
    const auto options = std::make_shared<wave_options>();
    CLI::App* command = group.add_subcommand(name, description);
    command->add_option("wave", options->name, "Name of the wave")->required();
    options->change.add_to(*command, "--change-id");
    command->callback([&context, options, state] {
        context.set_call_action([options, state](const operations_client& client) {
            return with_retry_hint(
                client.set_wave_state(wave_name(options->name), state, options->change.author,
                                      change_id(options->change.id)),
                *options);
        });
    });
}

}  // namespace

void add_wave_commands(CLI::App& app, command_context& context) {
    CLI::App* group = app.add_subcommand("wave", "Declare, monitor and control maintenance waves");
    group->require_subcommand(1);

    const auto name = std::make_shared<std::string>();
    CLI::App* status = group->add_subcommand("status", "Show the progress of a wave");
    status->add_option("wave", *name, "Name of the wave")->required();
    status->callback([&context, name] {
        context.set_call_action(
            [name](const operations_client& client) { return client.show_wave(wave_name(*name)); });
    });

    const auto options = std::make_shared<wave_options>();
    CLI::App* command =
        group->add_subcommand("declare", "Declare and start a maintenance wave over one or more pools");
    command->add_option("wave", options->name, "Name of the wave")->required();
    command->add_option("--pool", options->pools, "Pool of the wave; may be given several times")->required();
    options->change.add_to(*command, "--change-id");
    command->callback([&context, options] {
        context.set_call_action(
            [options](const operations_client& client) { return declare_wave(client, *options); });
    });

    add_state_command(*group, context, "pause", "paused",
                      "Pause a wave; no maintenance of further VMs is started");
    add_state_command(*group, context, "resume", "running", "Resume a paused wave");
    add_state_command(*group, context, "cancel", "cancelled",
                      "Cancel a wave; reboots that have started are completed");
}

}  // namespace masticpass
