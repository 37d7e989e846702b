#include "standin/platform_standin.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <absl/strings/str_split.h>

#include "standin/platform_server.h"
#include "standin/stop_signal.h"
#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

tl::expected<std::vector<listed_vm>, std::string> read_vm_file(const std::string& path) {
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto message = etcd::parse_object(text);
    if (!message || !etcd::nested_member(*message, "vms").isArray()) {
        return tl::make_unexpected(path + " is not a JSON object with an array \"vms\"");
    }
    std::vector<listed_vm> vms;
    for (const Json::Value& value : (*message)["vms"]) {
        auto vm = parse_vm(value);
        if (!vm) {
            return tl::make_unexpected(path + ": " + vm.error());
        }
        vms.push_back(*std::move(vm));
    }
    return vms;
}

tl::expected<listed_vm, std::string> parse_vm_option(const std::string& text) {
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    constexpr std::size_t part_count = 5;
    if (parts.size() != part_count) {
        return tl::make_unexpected("not of the form id,zone,rack,address,pool: " + text);
    }
    return listed_vm{.vm = vm_id(parts[0]),
                     .zone = zone_name(parts[1]),
                     .rack = rack_name(parts[2]),
                     .address = parts[3],
                     .boot = boot_id(),
                     .pool = pool_name(parts[4])};
}

tl::expected<std::vector<listed_vm>, std::string> read_vms(const std::string& file,
                                                           const std::vector<std::string>& options) {
    std::vector<listed_vm> vms;
    if (!file.empty()) {
        auto from_file = read_vm_file(file);
        if (!from_file) {
            return from_file;
        }
        vms = *std::move(from_file);
    }
    for (const std::string& option : options) {
        auto vm = parse_vm_option(option);
        if (!vm) {
            return tl::make_unexpected(vm.error());
        }
        vms.push_back(*std::move(vm));
    }
    return vms;
}

}  // namespace

int run_platform_standin(int argc, const char* const* argv) {
    platform_options options;
    constexpr std::size_t default_connections = 256;
    options.maximum_connections = default_connections;
    std::string vm_file;
    std::vector<std::string> vm_options;
    int reboot_milliseconds = 1000;

    CLI::App app("Stand-in for the platform: configuration store, VM list and VM control");
    app.add_option("--listen", options.listen_address, "IP address and port; port 0 selects a free one");
    app.add_option("--vms", vm_file, "JSON file {\"vms\": [{vm, zone, rack, address, pool}]}");
    app.add_option("--vm", vm_options, "id,zone,rack,address,pool; may be repeated");
    app.add_option("--reboot-ms", reboot_milliseconds, "time in milliseconds that a VM takes to boot");
    app.add_option("--connections", options.maximum_connections, "maximum number of open connections");
    app.add_flag("--notify-backends", options.notify_backends,
                 "call POST /control/reboot at the address of each VM that reboots");
    CLI11_PARSE(app, argc, argv);

    options.reboot_time = absl::Milliseconds(reboot_milliseconds);
    auto vms = read_vms(vm_file, vm_options);
    if (!vms) {
        std::cerr << vms.error() << '\n';
        return 1;
    }
    options.vms = *std::move(vms);

    // The signals are blocked before the server starts its threads, which inherit the signal mask.
    const stop_signal stop;
    const auto server = platform_server::create(options);
    if (!server) {
        std::cerr << server.error() << '\n';
        return 1;
    }
    std::cout << "listening on " << (*server)->address() << std::endl;
    stop.wait();
    return 0;
}

}  // namespace masticpass::standin
