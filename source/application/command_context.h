#ifndef MASTICPASS_APPLICATION_COMMAND_CONTEXT_H
#define MASTICPASS_APPLICATION_COMMAND_CONTEXT_H

#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "application/command_line.h"
#include "operations/operations_client.h"

namespace masticpass {

// What the groups of commands share while one command line is parsed and run. Each group adds its commands to
// the parser; a command's callback chooses the action that runs after parsing.
struct command_context {
    const command_environment& environment;
    std::string server_text;
    std::string output = "table";
    std::string time_limit_text = "10s";
    std::function<int()> action;

    bool is_json() const { return output == "json"; }

    // Chooses an action that calls the entry VM named by --server. The result is printed.
    void set_call_action(std::function<operations_result<Json::Value>(const operations_client&)> call);

private:
    int run_call(const std::function<operations_result<Json::Value>(const operations_client&)>& call) const;
};

// Options of commands that change something. The id lets a command be repeated without a second effect.
struct change_options {
    std::string author;
    std::string id;

    // Adds --author and the option for the id, and prepares a random id in case none is given.
    void add_to(CLI::App& command, const std::string& id_option);
};

// Adds serve, check and version.
void add_process_commands(CLI::App& app, command_context& context);

// Adds configuration show and propose.
void add_configuration_commands(CLI::App& app, command_context& context);

// Adds status, pool, entries and vm.
void add_fleet_commands(CLI::App& app, command_context& context);

// Adds wave status, declare, pause, resume and cancel.
void add_wave_commands(CLI::App& app, command_context& context);

}  // namespace masticpass

#endif
