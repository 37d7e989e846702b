#include "application/command_context.h"

#include <utility>

#include <absl/random/random.h>
#include <absl/strings/str_format.h>

#include "application/exit_code.h"
#include "application/output.h"
#include "settings/value_parser.h"

namespace masticpass {

void command_context::set_call_action(
    std::function<operations_result<Json::Value>(const operations_client&)> call) {
    action = [this, call = std::move(call)] { return run_call(call); };
}

int command_context::run_call(
    const std::function<operations_result<Json::Value>(const operations_client&)>& call) const {
    const auto server = parse_socket_address(server_text);
    if (!server) {
        environment.err << "--server: expected IP:port, for example 192.0.2.1:7403; got '" << server_text
                        << "'\n";
        return exit_code::usage;
    }
    const auto time_limit = duration_parser(absl::Milliseconds(10), absl::Minutes(10))(time_limit_text);
    if (!time_limit) {
        environment.err << "--time-limit: " << time_limit.error() << "\n";
        return exit_code::usage;
    }
    const auto result = call(operations_client(*server, *time_limit));
    if (!result) {
        print_error(environment.err, result.error(), is_json());
        return to_exit_code(result.error().code);
    }
    print_result(environment.out, *result, is_json());
    return exit_code::ok;
}

void change_options::add_to(CLI::App& command, const std::string& id_option) {
    absl::BitGen generator;
    id = absl::StrFormat("cli-%016x", absl::Uniform<std::uint64_t>(generator));
    command.add_option("--author", author, "Name of the operator who makes the change")
        ->envname("MASTICPASS_AUTHOR")
        ->required();
    command.add_option(
        id_option, id,
        "Identifies the change; give the same id again to repeat a command whose outcome is unknown");
}

}  // namespace masticpass
