#include "process/test_fleet.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include "application/sections_file.h"
#include "decision/membership/rendezvous.h"
#include "fakes/wait_until.h"

namespace masticpass::process_test {

namespace {

constexpr int slots_per_server = 8;
constexpr std::size_t log_tail_bytes = 3000;

// Returns zone-a for entry-a1 and vm-a1.
std::string zone_of(const std::string& name) {
    return absl::StrCat("zone-", name.substr(name.find('-') + 1, 1));
}

std::string loopback(int port) {
    return absl::StrCat("127.0.0.1:", port);
}

Json::Value to_json(const httplib::Result& answer) {
    Json::Value value;
    return answer && answer->status == 200 && Json::Reader().parse(answer->body, value) ? value
                                                                                        : Json::Value();
}

}  // namespace

test_fleet::test_fleet(const fleet_options& options) {
    folder_ = std::filesystem::temp_directory_path() / "masticpass-test-XXXXXX";
    REQUIRE(::mkdtemp(folder_.data()) != nullptr);
    platform_address_ = loopback(take_free_port());
    std::vector<std::string> platform = {MASTICPASS_STANDIN, "platform",    "--listen",
                                         platform_address_,  "--reboot-ms", "300",
                                         "--notify-backends"};
    for (const std::string zone : {"a", "b"}) {
        for (int number = 1; number <= options.entries_per_zone; ++number) {
            entries_.push_back(absl::StrCat("entry-", zone, number));
            std::generate_n(std::back_inserter(ports_[entries_.back()]), 4, &take_free_port);
        }
        for (int number = 1; number <= options.vms_per_zone; ++number) {
            const std::string& vm = vms_.emplace_back(absl::StrCat("vm-", zone, number));
            const int port = take_free_port();
            backend_addresses_[vm] = loopback(port);
            start(vm, {MASTICPASS_STANDIN, "backend", "--port", std::to_string(port)});
            platform.emplace_back("--vm");
            platform.push_back(
                absl::StrCat(vm, ",zone-", zone, ",rack-", vm, ",", loopback(port), ",proofs"));
        }
    }
    start("platform", platform);
    REQUIRE(fakes::wait_until([this] { return !list_vms().empty(); }));
    for (const std::string& vm : vms_) {
        REQUIRE(fakes::wait_until([&] { return !counters(vm).empty(); }));
    }
}

test_fleet::~test_fleet() {
    for (const auto& [name, process] : processes_) {
        process->send_signal(SIGKILL);
        if (std::uncaught_exceptions() > 0) {
            const std::string text = process->output() + process->errors();
            std::cerr << "---- " << name << "\n"
                      << text.substr(text.size() - std::min(text.size(), log_tail_bytes));
        }
    }
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void test_fleet::start(const std::string& name, const std::vector<std::string>& command) {
    processes_[name] = std::make_unique<child_process>(name, folder_, command);
}

std::string test_fleet::address(const std::string& entry, listener kind) const {
    return loopback(ports_.at(entry).at(static_cast<std::size_t>(kind)));
}

std::string test_fleet::settings_of(const std::string& entry) const {
    std::string text = absl::StrCat(
        "entry: {id: ", entry, ", region: wales, zone: ", zone_of(entry), "}\nlisten: {caller: '",
        address(entry, listener::caller), "', peer: '", address(entry, listener::peer), "', operations: '",
        address(entry, listener::operations), "', status: '", address(entry, listener::status),
        "'}\nplatform: {store: '", platform_address_, "', vms: '", platform_address_,
        "', call_timeout: 1s}\ntiming: {heartbeat: 250ms, vm_poll: 250ms}\npeers:\n");
    for (const std::string& other : entries_) {
        if (other != entry) {
            absl::StrAppend(&text, "  - {id: ", other, ", zone: ", zone_of(other), ", address: '",
                            address(other, listener::peer), "'}\n");
        }
    }
    return text;
}

void test_fleet::start_entry(const std::string& entry) {
    const std::string path = absl::StrCat(folder_, "/", entry, ".yaml");
    std::ofstream(path) << settings_of(entry);
    start(entry, {MASTICPASS_BINARY, "serve", "--settings", path});
    REQUIRE(fakes::wait_until([&] { return operations(entry).status().has_value(); }));
}

void test_fleet::declare() {
    configuration_change change{
        .id = change_id("first"), .author = "test", .base_revision = 0, .set = {}, .removed = {}};
    change.set =
        parse_sections(absl::StrCat("team/studio: {quota_vms: 100}\nservice/proofs: {pool: proofs}\n",
                                    "pool/proofs: {team: studio, zones: [zone-a, zone-b], minimum_vms: 1, ",
                                    "budget: {max_unavailable: 1}, vms: [", absl::StrJoin(vms_, ","), "]}"),
                       "sections")
            .value();
    REQUIRE(operations(entries_.front()).propose_change(change).has_value());
    const auto is_served = [this](const std::string& vm) {
        return std::any_of(entries_.begin(), entries_.end(), [&](const std::string& entry) {
            return processes_.contains(entry) && zone_of(entry) == zone_of(vm);
        });
    };
    const auto slots = slots_per_server * std::count_if(vms_.begin(), vms_.end(), is_served);
    REQUIRE(
        fakes::wait_until([&] { return metric("masticpass_free_slots{") == static_cast<double>(slots); }));
}

void test_fleet::start_serving() {
    std::for_each(entries_.begin(), entries_.end(), [this](const std::string& entry) { start_entry(entry); });
    declare();
}

std::string test_fleet::acting_entry(const std::string& pool) const {
    const std::vector<entry_id> candidates(entries_.begin(), entries_.end());
    return rendezvous_owner(pool, candidates).value().value();
}

std::string test_fleet::other_than(const std::string& entry) const {
    return entries_.front() == entry ? entries_.back() : entries_.front();
}

operations_client test_fleet::operations(const std::string& entry) const {
    return {parse_socket_address(address(entry, listener::operations)).value(), absl::Seconds(10)};
}

void test_fleet::declare_sections(const std::string& entry, const std::string& sections) const {
    const Json::Value shown = operations(entry).show_configuration().value();
    const std::int64_t revision = shown["revision"].asInt64();
    const configuration_change change{.id = change_id(absl::StrCat("after-", revision)),
                                      .author = "test",
                                      .base_revision = revision,
                                      .set = parse_sections(sections, "sections").value(),
                                      .removed = {}};
    REQUIRE(operations(entry).propose_change(change).has_value());
}

void test_fleet::declare_wave(const std::string& entry, const std::string& wave) const {
    declare_sections(entry, absl::StrCat("wave/", wave, ": {pools: [proofs], state: running}\n"));
}

std::string test_fleet::wave_status(const std::string& entry, const std::string& wave) const {
    const auto shown = operations(entry).show_wave(wave_name(wave));
    return shown ? (*shown)["status"].asString() : "";
}

double test_fleet::metric(const std::string& name) const {
    double total = 0;
    for (const std::string& entry : entries_) {
        const auto answer = httplib::Client("http://" + address(entry, listener::status)).Get("/metrics");
        const std::string text = answer ? answer->body : "";
        for (const std::string& line : std::vector<std::string>(absl::StrSplit(text, '\n'))) {
            double value = 0;
            if (absl::StartsWith(line, name) && absl::SimpleAtod(line.substr(line.rfind(' ') + 1), &value)) {
                total += value;
            }
        }
    }
    return total;
}

Json::Value test_fleet::control(const std::string& vm, const std::string& path,
                                const Json::Value& body) const {
    httplib::Client client("http://" + (vm.empty() ? platform_address_ : backend_addresses_.at(vm)));
    const std::string text = Json::writeString(Json::StreamWriterBuilder(), body);
    if (body.isNull()) {
        return to_json(client.Get(path));
    }
    const auto answer = client.Post(path, text, "application/json");
    REQUIRE((answer && answer->status == 200));
    return to_json(answer);
}

Json::Value test_fleet::counters(const std::string& vm) const {
    return control(vm, "/control/counters", Json::Value());
}

Json::Value test_fleet::list_vms() const {
    return control("", "/vms", Json::Value())["vms"];
}

void test_fleet::require_backend_invariants() const {
    for (const std::string& vm : vms_) {
        const Json::Value vm_counters = counters(vm);
        INFO(vm, ": ", vm_counters.toStyledString());
        REQUIRE(vm_counters["most_running"].asInt() <= slots_per_server);
    }
    for (const auto& job : run_counts()) {
        INFO(job.first);
        // Repeatable jobs may run again after a failure.
        REQUIRE((job.second == 1 || absl::StartsWith(job.first, "repeatable-")));
    }
}

std::map<std::string, int> test_fleet::run_counts() const {
    std::map<std::string, int> result;
    for (const std::string& vm : vms_) {
        const Json::Value vm_runs = control(vm, "/control/runs", Json::Value());
        REQUIRE(vm_runs.isObject());
        for (const std::string& job : vm_runs.getMemberNames()) {
            result[job] += vm_runs[job].asInt();
        }
    }
    return result;
}

std::vector<std::string> test_fleet::take_identities(const std::string& entry, int count) const {
    const auto answer = httplib::Client("http://" + address(entry, listener::caller))
                            .Post(absl::StrCat("/v1/identities?count=", count), "", "text/plain");
    Json::Value body;
    REQUIRE((answer && Json::Reader().parse(answer->body, body)));
    std::vector<std::string> result;
    for (const Json::Value& id : body["identities"]) {
        result.push_back(id.asString());
    }
    REQUIRE(result.size() == static_cast<std::size_t>(count));
    return result;
}

caller_answer test_fleet::send(const std::string& entry, const httplib::Headers& headers,
                               const std::string& body) const {
    httplib::Client client("http://" + address(entry, listener::caller));
    client.set_read_timeout(std::chrono::seconds(30));
    const absl::Time start = absl::Now();
    const auto answer = client.Post("/v1/services/proofs/requests", headers, body, "application/json");
    const absl::Duration elapsed = absl::Now() - start;
    if (!answer) {
        return {0, "", "", "", elapsed};
    }
    return {answer->status, answer->get_header_value("Masticpass-Verdict"),
            answer->get_header_value("Masticpass-Reason"), answer->body, elapsed};
}

std::unique_ptr<child_process> test_fleet::start_caller(const std::vector<std::string>& options) const {
    std::vector<std::string> command = {MASTICPASS_STANDIN, "caller", "--service", "proofs"};
    for (const std::string& entry : entries_) {
        command.insert(command.end(), {"--caller", address(entry, listener::caller), "--status",
                                       address(entry, listener::status)});
    }
    command.insert(command.end(), options.begin(), options.end());
    return std::make_unique<child_process>("caller", folder_, command);
}

Json::Value test_fleet::wait_for_counters(child_process& caller) {
    REQUIRE(caller.wait_for_end(absl::Seconds(25)));
    INFO(caller.errors());
    REQUIRE(caller.has_succeeded());
    Json::Value result;
    REQUIRE(Json::Reader().parse(caller.output(), result));
    MESSAGE(result.toStyledString());
    return result;
}

Json::Value json_object(const std::string& name, const Json::Value& value) {
    Json::Value result;
    result[name] = value;
    return result;
}

}  // namespace masticpass::process_test
