#ifndef MASTICPASS_APPLICATION_COMMAND_CONTEXT_H
#define MASTICPASS_APPLICATION_COMMAND_CONTEXT_H

#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "application/command_line.h"
#include "operations/operations_client.h"

namespace masticpass {

// The state that the groups of commands share while a command line is parsed and run. Each group adds its
// commands to the parser. The callback of a command sets the action that runs after parsing.
struct command_context {
    const command_environment& environment;
    std::string server_text;
    std::string output = "table";
    std::string time_limit_text = "10s";
    std::function<int()> action;

    bool is_json() const { return output == "json"; }

    // Sets an action that calls the entry VM at the address given by --server and prints the result.
    void set_call_action(std::function<operations_result<Json::Value>(const operations_client&)> call);

private:
    int run_call(const std::function<operations_result<Json::Value>(const operations_client&)>& call) const;
};

// Options of commands that make changes. The id allows a command to be repeated without a second effect.
struct change_options {
    std::string author;
    std::string id;

    // Adds --author and the option `id_option`, which sets the id. The default is a random id.
    void add_to(CLI::App& command, const std::string& id_option);
};

// Adds the commands serve, check, platform-entry and version.
void add_process_commands(CLI::App& app, command_context& context);

// Adds the commands configuration show and configuration propose.
void add_configuration_commands(CLI::App& app, command_context& context);

// Adds the commands status, entries, pool show and vm drain.
void add_fleet_commands(CLI::App& app, command_context& context);

// Adds the commands wave status, wave declare, wave pause, wave resume and wave cancel.
void add_wave_commands(CLI::App& app, command_context& context);

}  // namespace masticpass

#endif
