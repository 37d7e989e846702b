#include <memory>
#include <string>

#include "application/command_context.h"
#include "application/exit_code.h"
#include "settings/load_settings.h"

namespace masticpass {

namespace {

tl::expected<settings, int> load_or_report(const std::string& path, std::ostream& err) {
    auto loaded = load_settings(path);
    if (!loaded) {
        for (const settings_error& error : loaded.error()) {
            err << to_string(error) << "\n";
        }
        return tl::unexpected(exit_code::refused);
    }
    return *std::move(loaded);
}

int run_serve(const std::string& path, const command_environment& environment) {
    const auto loaded = load_or_report(path, environment.err);
    if (!loaded) {
        return loaded.error();
    }
    if (!environment.serve) {
        environment.err << "this program cannot run an entry VM\n";
        return exit_code::refused;
    }
    return environment.serve(*loaded);
}

int run_check(const std::string& path, const command_environment& environment) {
    const auto loaded = load_or_report(path, environment.err);
    if (!loaded) {
        return loaded.error();
    }
    environment.out << path << ": valid settings of entry VM " << loaded->entry.id << " in zone "
                    << loaded->entry.zone << "\n";
    return exit_code::ok;
}

}  // namespace

void add_process_commands(CLI::App& app, command_context& context) {
    const auto path = std::make_shared<std::string>();
    CLI::App* serve = app.add_subcommand("serve", "Run an entry VM until SIGTERM or SIGINT");
    serve->add_option("--settings", *path, "Settings file in YAML")->required();
    serve->callback([&context, path] {
        context.action = [&context, path] { return run_serve(*path, context.environment); };
    });

    CLI::App* check = app.add_subcommand("check", "Check a settings file and report all errors in it");
    check->add_option("file", *path, "Settings file in YAML")->required();
    check->callback([&context, path] {
        context.action = [&context, path] { return run_check(*path, context.environment); };
    });

    app.add_subcommand(
           "platform-entry",
           "Run an entry VM with the settings that the platform provides, until SIGTERM or SIGINT")
        ->callback([&context] {
            context.action = [&context] {
                return context.environment.serve_on_platform ? context.environment.serve_on_platform()
                                                             : exit_code::refused;
            };
        });

    app.add_subcommand("version", "Print the version")->callback([&context] {
        context.action = [&context] {
            context.environment.out << "masticpass " << MASTICPASS_VERSION << "\n";
            return exit_code::ok;
        };
    });
}

}  // namespace masticpass
