#include <memory>
#include <string>

#include "application/command_context.h"

namespace masticpass {

void add_fleet_commands(CLI::App& app, command_context& context) {
    app.add_subcommand("status", "Show the status of the entry VM")->callback([&context] {
        context.set_call_action([](const operations_client& client) { return client.status(); });
    });
    app.add_subcommand("entries", "List all entry VMs with their last reported status")->callback([&context] {
        context.set_call_action([](const operations_client& client) { return client.list_entries(); });
    });

    CLI::App* pool = app.add_subcommand("pool", "Show pools");
    pool->require_subcommand(1);
    const auto name = std::make_shared<std::string>();
    CLI::App* show = pool->add_subcommand("show", "Show a pool with its VMs and their phases");
    show->add_option("pool", *name, "Name of the pool")->required();
    show->callback([&context, name] {
        context.set_call_action(
            [name](const operations_client& client) { return client.show_pool(pool_name(*name)); });
    });

    CLI::App* vm = app.add_subcommand("vm", "Manage individual VMs");
    vm->require_subcommand(1);
    const auto id = std::make_shared<std::string>();
    const auto change = std::make_shared<change_options>();
    CLI::App* drain = vm->add_subcommand(
        "drain", "Take a VM out of service and reboot it, within the availability budget of its pool");
    drain->add_option("vm", *id, "Id of the VM")->required();
    change->add_to(*drain, "--operation-id");
    drain->callback([&context, id, change] {
        context.set_call_action([id, change](const operations_client& client) {
            auto result = client.drain_vm(vm_id(*id), change->author, operation_id(change->id));
            if (!result && result.error().code == operations_error_code::unknown_outcome) {
                result.error().message += "; repeat the command with --operation-id " + change->id;
            }
            return result;
        });
    });
}

}  // namespace masticpass
