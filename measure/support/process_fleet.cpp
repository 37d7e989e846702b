#include "support/process_fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>
#include <stdlib.h>

#include "store/etcd_messages.h"

namespace masticpass::measure {

namespace {

constexpr int entry_port_offset = 10;
constexpr int ports_per_entry = 10;
constexpr absl::Duration ready_timeout = absl::Seconds(60);
constexpr absl::Duration poll_interval = absl::Milliseconds(100);
constexpr absl::Duration stop_timeout = absl::Seconds(20);
constexpr absl::Duration call_timeout = absl::Seconds(10);

std::string loopback(int port) {
    return absl::StrCat("127.0.0.1:", port);
}

template <typename Condition>
void wait_until(const std::string& description, Condition reached) {
    const absl::Time deadline = absl::Now() + ready_timeout;
    while (!reached()) {
        if (absl::Now() > deadline) {
            throw std::runtime_error("timed out after one minute while waiting until " + description);
        }
        absl::SleepFor(poll_interval);
    }
}

}  // namespace

process_fleet::process_fleet(const fleet_programs& programs, const fleet_options& options)
    : programs_(programs), options_(options) {
    std::string pattern = (std::filesystem::temp_directory_path() / "masticpass-measure-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a directory for settings and logs");
    }
    directory_ = pattern;
    start_platform();
    start_backends();
    start_entries();
    declare_configuration();
    wait_until_ready();
}

process_fleet::~process_fleet() {
    for (const auto& entry : entries_) {
        entry->send_signal(SIGTERM);
    }
    for (const auto& entry : entries_) {
        entry->wait_for_end(stop_timeout);
    }
    entries_.clear();
    backends_.clear();
    platform_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

int process_fleet::entry_port(int number) const {
    return programs_.base_port + entry_port_offset + number * ports_per_entry;
}

std::string process_fleet::caller_address(int number) const {
    return loopback(entry_port(number));
}

operations_client process_fleet::operations_client_of(int number) const {
    return {*parse_socket_address(loopback(entry_port(number) + 2)), call_timeout};
}

void process_fleet::start(process_list& list, const std::vector<std::string>& command,
                          const std::string& name) {
    list.push_back(std::make_unique<process_test::child_process>(name, directory_, command));
}

process_usage process_fleet::usage_of_entry(int number) const {
    return usage_of(entries_.at(static_cast<std::size_t>(number))->id());
}

void process_fleet::start_platform() {
    const std::string file = directory_ + "/vms.json";
    std::ofstream(file) << options_.fleet.vm_list_json();
    start(platform_,
          {programs_.standin, "platform", "--listen", loopback(programs_.base_port), "--vms", file,
           "--reboot-ms", "200", "--connections", "128"},
          "platform");
}

void process_fleet::start_backends() {
    for (int number = 0; number < options_.backends; ++number) {
        start(backends_,
              {programs_.standin, "backend", "--port",
               absl::StrCat(options_.fleet.first_backend_port + number)},
              absl::StrCat("backend-", number));
    }
}

void process_fleet::start_entries() {
    for (int number = 0; number < options_.entries; ++number) {
        const std::string file = absl::StrCat(directory_, "/entry-", number, ".yaml");
        const int port = entry_port(number);
        std::ofstream settings(file);
        settings << "entry: {id: entry-" << number
                 << ", region: wales, zone: " << zone_name_of(number % options_.fleet.zones) << "}\n"
                 << "listen: {caller: '" << loopback(port) << "', peer: '" << loopback(port + 1)
                 << "', operations: '" << loopback(port + 2) << "', status: '" << loopback(port + 3) << "'}\n"
                 << "platform: {store: '" << loopback(programs_.base_port) << "', vms: '"
                 << loopback(programs_.base_port) << "', call_timeout: " << options_.call_timeout_ms
                 << "ms}\n";
        if (options_.entries > 1) {
            settings << "peers:\n";
        }
        for (int other = 0; other < options_.entries; ++other) {
            if (other != number) {
                settings << "  - {id: entry-" << other
                         << ", zone: " << zone_name_of(other % options_.fleet.zones) << ", address: '"
                         << loopback(entry_port(other) + 1) << "'}\n";
            }
        }
        settings.close();
        start(entries_, {programs_.masticpass, "serve", "--settings", file}, absl::StrCat("entry-", number));
    }
}

void process_fleet::declare_configuration() {
    configuration_change change;
    change.id = change_id("declare");
    change.author = "measure";
    change.set = options_.fleet.configuration();
    wait_until("the configuration is accepted",
               [&] { return operations_client_of(0).propose_change(change).has_value(); });
}

std::int64_t process_fleet::revision_in_force(int number) const {
    const auto status = operations_client_of(number).status();
    return status ? etcd::integer_member(*status, "configuration_revision") : 0;
}

void process_fleet::wait_until_ready() const {
    for (int number = 0; number < entry_count(); ++number) {
        wait_until("the configuration is in force", [&] { return revision_in_force(number) >= 1; });
    }
    for (int pool = 0; pool < options_.fleet.pools; ++pool) {
        const pool_name name(pool_name_of(pool));
        wait_until("all pools have records",
                   [&] { return operations_client_of(0).show_pool(name).has_value(); });
    }
}

Json::Value process_fleet::platform_counters() const {
    httplib::Client client("127.0.0.1", programs_.base_port);
    const auto response = client.Get("/control/counters");
    const auto parsed = etcd::parse_object(response ? response->body : "");
    return parsed ? *parsed : Json::Value(Json::objectValue);
}

void process_fleet::set_faults(const std::string& json) const {
    httplib::Client client("127.0.0.1", programs_.base_port);
    const auto response = client.Post("/control/faults", json, "application/json");
    if (!response || response->status != 200) {
        throw std::runtime_error("the platform stand-in rejected the faults " + json);
    }
}

configuration_change process_fleet::quota_change(const std::string& id) const {
    configuration_change change;
    change.id = change_id(id);
    change.author = "measure";
    change.base_revision = revision_in_force(0);
    const std::size_t quota_variation = std::hash<std::string>()(id) % 100;
    change.set.teams[team_name("team-0")].quota_vms = options_.fleet.vms + static_cast<int>(quota_variation);
    return change;
}

}  // namespace masticpass::measure
