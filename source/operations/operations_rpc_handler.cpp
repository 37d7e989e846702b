#include "operations/operations_rpc_handler.h"

#include <exception>
#include <utility>

#include <jsonrpccpp/common/exception.h>

#include "operations/view_json.h"
#include "operations/wave_change.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

[[noreturn]] void throw_error(const operations_error& error) {
    throw jsonrpc::JsonRpcException(static_cast<int>(error.code), error.message, error_data_to_json(error));
}

[[noreturn]] void throw_invalid(std::string message, configuration_problems problems = {}) {
    throw_error({.code = operations_error_code::invalid,
                 .message = std::move(message),
                 .problems = std::move(problems)});
}

template <typename T>
T value_or_throw(operations_result<T> result) {
    if (!result) {
        throw_error(result.error());
    }
    return *std::move(result);
}

// `parameter` is the name of the parameter, for the error message.
template <typename Identifier>
Identifier name_or_throw(const std::string& text, const char* parameter) {
    if (!is_configuration_name(text)) {
        throw_invalid(std::string(parameter) +
                      " is not a valid name; expected 1 to 63 letters, digits, '-', '_' or '.', starting "
                      "with a letter or digit");
    }
    return Identifier(text);
}

void check_author(const std::string& author) {
    if (author.empty()) {
        throw_invalid("author is empty; expected the name of the operator");
    }
}

}  // namespace

void operations_rpc_handler::HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                                              Json::Value& output) {
    try {
        operations_server_stub::HandleMethodCall(procedure, input, output);
    } catch (const jsonrpc::JsonRpcException&) {
        throw;
    } catch (const std::exception& exception) {
        log_event(log_severity::error, "operations_call_failed",
                  {{"method", procedure.GetProcedureName()}, {"reason", exception.what()}});
        throw_error({.code = operations_error_code::internal,
                     .message = "the call failed with an internal error; it may have taken effect"});
    }
}

Json::Value operations_rpc_handler::status() {
    return to_json(service_.status());
}

Json::Value operations_rpc_handler::show_configuration() {
    return to_json(value_or_throw(service_.show_configuration()));
}

Json::Value operations_rpc_handler::propose_change(const Json::Value& change) {
    auto parsed = configuration_change_from_json(change);
    if (!parsed) {
        throw_invalid("the change is malformed", std::move(parsed.error()));
    }
    return to_json(value_or_throw(service_.propose_change(*parsed)));
}

Json::Value operations_rpc_handler::show_pool(const std::string& pool) {
    return to_json(value_or_throw(service_.show_pool(name_or_throw<pool_name>(pool, "pool"))));
}

Json::Value operations_rpc_handler::list_entries() {
    Json::Value entries(Json::arrayValue);
    for (const entry_view& entry : service_.list_entries()) {
        entries.append(to_json(entry));
    }
    return entries;
}

Json::Value operations_rpc_handler::show_wave(const std::string& wave) {
    return to_json(value_or_throw(service_.show_wave(name_or_throw<wave_name>(wave, "wave"))));
}

Json::Value operations_rpc_handler::set_wave_state(const std::string& author, const std::string& change,
                                                   const std::string& state, const std::string& wave) {
    const auto name = name_or_throw<wave_name>(wave, "wave");
    const auto id = name_or_throw<change_id>(change, "change");
    check_author(author);
    const auto target_state = parse_wave_state(state);
    if (!target_state) {
        throw_invalid("invalid state '" + state + "'; expected running, paused or cancelled");
    }
    const configuration_view view = value_or_throw(service_.show_configuration());
    const auto proposed = value_or_throw(make_wave_change(view, name, *target_state, author, id));
    if (!proposed) {
        return to_json(change_result{.revision = view.revision, .is_repeated = true});
    }
    return to_json(value_or_throw(service_.propose_change(*proposed)));
}

Json::Value operations_rpc_handler::drain_vm(const std::string& author, const std::string& operation,
                                             const std::string& vm) {
    const auto id = name_or_throw<operation_id>(operation, "operation");
    const auto name = name_or_throw<vm_id>(vm, "vm");
    check_author(author);
    return to_json(value_or_throw(service_.drain_vm(name, author, id)));
}

}  // namespace masticpass
