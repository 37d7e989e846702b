#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "application/command_context.h"
#include "application/sections_file.h"

namespace masticpass {

namespace {

struct propose_options {
    change_options change;
    std::int64_t base = 0;
    std::string file;
    std::vector<std::string> removed;
};

operations_result<configuration_change> make_change(const propose_options& options) {
    configuration_change change;
    change.id = change_id(options.change.id);
    change.author = options.change.author;
    change.base_revision = options.base;
    configuration_problems problems;
    if (!options.file.empty()) {
        auto sections = load_sections(options.file);
        if (sections) {
            change.set = *std::move(sections);
        } else {
            problems = sections.error();
        }
    }
    for (const std::string& text : options.removed) {
        if (const auto key = parse_section_key(text)) {
            change.removed.insert(*key);
        } else {
            problems.push_back(
                {"--remove", "'" + text + "' is not a section key; expected, for example, pool/weaving"});
        }
    }
    if (!problems.empty()) {
        return tl::unexpected(operations_error{.code = operations_error_code::invalid,
                                               .message = "the proposed change is invalid",
                                               .problems = std::move(problems)});
    }
    return change;
}

operations_result<Json::Value> propose(const operations_client& client, const propose_options& options) {
    const auto change = make_change(options);
    if (!change) {
        return tl::unexpected(change.error());
    }
    auto result = client.propose_change(*change);
    if (!result && result.error().code == operations_error_code::unknown_outcome) {
        result.error().message += "; repeat the command with --change-id " + options.change.id;
    }
    return result;
}

}  // namespace

void add_configuration_commands(CLI::App& app, command_context& context) {
    CLI::App* group = app.add_subcommand("configuration", "Read or change the declared configuration");
    group->require_subcommand(1);

    group->add_subcommand("show", "Show the configuration in force with its revision")->callback([&context] {
        context.set_call_action([](const operations_client& client) { return client.show_configuration(); });
    });

    const auto options = std::make_shared<propose_options>();
    CLI::App* command = group->add_subcommand("propose", "Propose a change that sets or removes sections");
    command->add_option("file", options->file, "YAML or JSON file with the sections to set");
    command->add_option("--remove", options->removed,
                        "Section to remove, for example wave/spring; may be given several times");
    // Required, since a default would conceal the changes made since the file was written.
    command->add_option("--base", options->base, "Revision of the configuration that the change is based on")
        ->required();
    options->change.add_to(*command, "--change-id");
    command->callback([&context, options] {
        context.set_call_action(
            [options](const operations_client& client) { return propose(client, *options); });
    });
}

}  // namespace masticpass
