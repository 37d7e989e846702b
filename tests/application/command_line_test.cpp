#include "application/command_line.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <unistd.h>

#include "application/exit_code.h"
#include "application/sections_file.h"
#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/sample.h"
#include "operations/fake_fleet_service.h"
#include "operations/operations_server.h"

namespace masticpass {

namespace {

std::string sample(const std::string& name) {
    return std::string(MASTICPASS_SAMPLES "/") + name;
}

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result run(std::vector<std::string> arguments,
                   const std::function<int(const settings&)>& serve = nullptr) {
    arguments.insert(arguments.begin(), "masticpass");
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const std::string& word : arguments) {
        argv.push_back(word.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    const int code = run_command_line(static_cast<int>(argv.size()), argv.data(),
                                      {.out = out, .err = err, .serve = serve});
    return {code, out.str(), err.str()};
}

// A temporary file that is removed with this object.
struct temporary_file {
    explicit temporary_file(const std::string& text) {
        std::string pattern = (std::filesystem::temp_directory_path() / "masticpass-XXXXXX").string();
        const int descriptor = mkstemp(pattern.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
        path = pattern;
        std::ofstream(path) << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file() { std::filesystem::remove(path); }

    std::string path;
};

struct running_server {
    explicit running_server(const configuration_record& record = small_record())
        : service(record), server(operations_server::create("127.0.0.1", 0, service).value()) {
        server->start();
    }

    command_result call(std::vector<std::string> arguments) const {
        arguments.insert(arguments.end(), {"--server", "127.0.0.1:" + std::to_string(server->port())});
        return run(std::move(arguments));
    }

    fake_fleet_service service;
    std::unique_ptr<operations_server> server;
};

}  // namespace

// Guards against exit codes on which scripts cannot rely.
TEST_CASE("usage errors have their own exit code") {
    for (const auto& arguments :
         std::vector<std::vector<std::string>>{{},
                                               {"reboot"},
                                               {"wave"},
                                               {"check"},
                                               {"entries", "--output", "xml"},
                                               {"entries", "--server", "localhost:1"},
                                               {"entries", "--server", "127.0.0.1:1", "--time-limit", "5"},
                                               {"wave", "declare", "x", "--author", "ines"},
                                               {"configuration", "propose", "file", "--author", "ines"}}) {
        const command_result result = run(arguments);
        CHECK(result.code == exit_code::usage);
        CHECK_FALSE(result.err.empty());
    }
    CHECK(run({"--help"}).out.find("Examples:") != std::string::npos);
    CHECK(run({"--help"}).code == exit_code::ok);
    CHECK(run({"version"}).out.find("masticpass ") == 0);
}

TEST_CASE("settings are checked before the entry VM is started") {
    CHECK(run({"check", sample("settings.yaml")}).code == exit_code::ok);
    int serve_calls = 0;
    const auto serve = [&](const settings& loaded) {
        ++serve_calls;
        return loaded.entry.id == entry_id("entry-a1") ? 42 : 0;
    };
    CHECK(run({"serve", "--settings", sample("settings.yaml")}, serve).code == 42);
    const temporary_file incomplete_file("entry: {id: a}\n");
    const command_result result = run({"serve", "--settings", incomplete_file.path}, serve);
    CHECK(result.code == exit_code::refused);
    CHECK(result.err.find(incomplete_file.path + ":1: entry.zone: ") != std::string::npos);
    CHECK(serve_calls == 1);
}

// Guards against an invalid sample, which operators would copy.
TEST_CASE("the sample configuration is accepted") {
    const running_server running{configuration_record{}};
    const command_result result = running.call(
        {"configuration", "propose", sample("configuration.yaml"), "--base", "0", "--author", "ines"});
    CHECK(result.err.empty());
    CHECK(result.code == exit_code::ok);
    const command_result shown = running.call({"configuration", "show", "--output", "json"});
    const Json::Value sections = parse_json(shown.out).value()["sections"];
    CHECK(sections["pool/members-desk"]["spare"] == true);
    CHECK(sections.size() == 13);
}

TEST_CASE("each outcome of a proposal has an exit code") {
    running_server running;
    const temporary_file file("team/dye: {quota_vms: 30}\n");
    const std::vector<std::string> arguments = {"configuration", "propose", file.path, "--author",
                                                "ines",          "--base",  "1"};
    CHECK(running.call(arguments).code == exit_code::ok);
    const command_result conflict = running.call(arguments);
    CHECK(conflict.code == exit_code::conflict);
    CHECK(conflict.err.find("team/dye: last changed by ines at revision 2") != std::string::npos);
    CHECK(running.call({"configuration", "propose", "--remove", "team/dye", "--base", "2", "--author", "i"})
              .code == exit_code::refused);
    CHECK(
        running.call({"configuration", "propose", "--remove", "dye", "--base", "2", "--author", "i"}).code ==
        exit_code::refused);
    running.service.failure = operations_error{operations_error_code::unavailable, "the store is down"};
    CHECK(running.call(arguments).code == exit_code::unreachable);
    CHECK(run({"entries", "--server", "127.0.0.1:1"}).code == exit_code::unreachable);
    running.service.failure =
        operations_error{operations_error_code::unknown_outcome, "no response from the store"};
    const command_result unknown = running.call(arguments);
    CHECK(unknown.code == exit_code::unknown_outcome);
    CHECK(unknown.err.find("--change-id cli-") != std::string::npos);
}

// Guards against a second effect of a command that is repeated after an unknown outcome, and against
// replacing a wave by declaring another one with the same name.
TEST_CASE("a wave is declared once") {
    const running_server running;
    const std::vector<std::string> arguments = {"wave",     "declare", "autumn",      "--pool", "weaving",
                                                "--author", "ines",    "--change-id", "w1"};
    CHECK(running.call(arguments).code == exit_code::ok);
    CHECK(running.call(arguments).code == exit_code::ok);
    CHECK(running.call({"wave", "declare", "autumn", "--pool", "dyeing", "--author", "rui"}).code ==
          exit_code::conflict);
    CHECK(running.call({"wave", "declare", "winter", "--pool", "nothing", "--author", "rui"}).code ==
          exit_code::refused);
    CHECK(running.call({"wave", "pause", "autumn", "--author", "rui"}).code == exit_code::ok);
    CHECK(running.call({"wave", "cancel", "autumn", "--author", "rui"}).code == exit_code::ok);
    CHECK(running.call({"wave", "resume", "autumn", "--author", "rui"}).code == exit_code::refused);
    CHECK(running.call({"wave", "resume", "nothing", "--author", "rui"}).code == exit_code::refused);
}

TEST_CASE("results are printed as tables or as JSON") {
    running_server running;
    const command_result table = running.call({"pool", "show", "weaving"});
    CHECK(table.out.find("record_revision  7\n") != std::string::npos);
    CHECK(table.out.find("acting") != std::string::npos);
    CHECK(parse_json(running.call({"pool", "show", "weaving", "--output", "json"}).out).has_value());
    CHECK(running.call({"configuration", "show"}).out.find("team/dye") != std::string::npos);
    CHECK(running.call({"wave", "status", "spring"}).out.find("never_returned  vm-9") != std::string::npos);
    CHECK(running.call({"entries"}).out.find("1500") != std::string::npos);
    CHECK(running.call({"status"}).code == exit_code::ok);
    CHECK(running.call({"vm", "drain", "vm-1", "--author", "ines"}).code == exit_code::ok);
    CHECK(running.call({"pool", "show", "nothing"}).code == exit_code::refused);
    running.service.failure = operations_error{operations_error_code::budget_exhausted, "no room"};
    const command_result refused = running.call({"vm", "drain", "vm-1", "--author", "i", "--output", "json"});
    CHECK(refused.code == exit_code::refused);
    CHECK(parse_json(refused.err).value()["error"]["code"] == "budget-exhausted");
    running.service.failure = operations_error{operations_error_code::conflict, "changed first by i9"};
    const command_result conflict = running.call({"vm", "drain", "vm-1", "--author", "i"});
    CHECK(conflict.code == exit_code::conflict);
    CHECK(conflict.err.find("changed first by i9") != std::string::npos);
}

// Guards against values that change their type between YAML and JSON.
TEST_CASE("sections are read from YAML and JSON") {
    const auto from_yaml = parse_sections(
        "team/dye: {quota_vms: 30}\npool/p:\n  team: \"7\"\n  zones: [a]\n"
        "  minimum_vms: 1\n  spare: true\n  budget: {max_unavailable: 1}\n",
        "f");
    REQUIRE(from_yaml.has_value());
    CHECK(from_yaml->pools.at(pool_name("p")).team == team_name("7"));
    CHECK(from_yaml->pools.at(pool_name("p")).spare);
    CHECK(parse_sections(R"({"team/dye": {"quota_vms": 30}})", "f").value().teams == from_yaml->teams);
    for (const char* text :
         {"team/dye: {quota_vms: '30'}", "team/dye: {quota_vms: 30, quota_vms: 31}", "team/dye: 3", "dye: {}",
          "- a", "{", "a: &a [*a]", "team/dye: {quota_vms: [[[[[[[[[[1]]]]]]]]]]}"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_sections(text, "f").has_value());
    }
    CHECK_FALSE(load_sections("/nonexistent").has_value());
}

}  // namespace masticpass
