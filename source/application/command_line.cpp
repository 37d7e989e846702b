#include "application/command_line.h"

#include "application/command_context.h"
#include "application/exit_code.h"

namespace masticpass {

namespace {

constexpr const char* examples = R"(Examples:
  masticpass check /etc/masticpass/settings.yaml
  masticpass serve --settings /etc/masticpass/settings.yaml
  masticpass --server 192.0.2.1:7403 configuration show --output json
  masticpass --server 192.0.2.1:7403 configuration propose weaving.yaml --base 17 --author ines
  masticpass --server 192.0.2.1:7403 wave declare spring --pool weaving --pool dyeing --author ines
  masticpass --server 192.0.2.1:7403 wave status spring
  masticpass --server 192.0.2.1:7403 vm drain vm-17 --author ines

Exit codes: 0 success, 1 refused or invalid, 2 usage error, 3 conflict, 4 unreachable, 5 outcome unknown.)";

void add_common_options(CLI::App& app, command_context& context) {
    app.add_option("--server", context.server_text, "Operations address of an entry VM as IP:port")
        ->envname("MASTICPASS_SERVER");
    app.add_option("--output", context.output, "Output format")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
    app.add_option("--time-limit", context.time_limit_text,
                   "Timeout of each step of a call: connecting, and each read and write")
        ->capture_default_str();
}

}  // namespace

int run_command_line(int argc, const char* const* argv, const command_environment& environment) {
    command_context context{.environment = environment, .server_text = {}, .action = {}};
    CLI::App app("Fleet capacity and maintenance manager", "masticpass");
    // Allows common options after a subcommand. Subcommands inherit this setting.
    app.fallthrough();
    app.require_subcommand(1);
    app.footer(examples);
    add_common_options(app, context);
    add_process_commands(app, context);
    add_configuration_commands(app, context);
    add_fleet_commands(app, context);
    add_wave_commands(app, context);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error, environment.out, environment.err) == 0 ? exit_code::ok : exit_code::usage;
    }
    return context.action();
}

}  // namespace masticpass
