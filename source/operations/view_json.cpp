#include "operations/view_json.h"

#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/section_json.h"

namespace masticpass {

namespace {

std::string format_time(absl::Time time) {
    return absl::FormatTime("%Y-%m-%d%ET%H:%M:%SZ", time, absl::UTCTimeZone());
}

std::string text_member(const Json::Value& object, const char* name) {
    const Json::Value& member = object[name];
    return member.isString() ? member.asString() : "";
}

Json::Value to_json(const pool_vm_view& vm) {
    Json::Value object(Json::objectValue);
    object["vm"] = vm.vm.value();
    object["zone"] = vm.zone.value();
    object["rack"] = vm.rack.value();
    object["phase"] = vm.phase;
    object["since"] = format_time(vm.since);
    object["observed"] = vm.observed;
    object["operation"] = vm.operation.value();
    object["wave"] = vm.wave.value();
    return object;
}

void read_conflict(const Json::Value& object, operations_error& error) {
    const auto section = parse_section_key(text_member(object, "section"));
    const Json::Value& revision = object["revision"];
    if (section && revision.isInt64()) {
        error.conflicts.push_back({*section, text_member(object, "author"), revision.asInt64()});
    }
}

}  // namespace

Json::Value to_json(const entry_status& status) {
    Json::Value object(Json::objectValue);
    object["entry"] = status.entry.value();
    object["incarnation"] = status.incarnation.value();
    object["zone"] = status.zone.value();
    object["version"] = status.version;
    object["configuration_revision"] = static_cast<Json::Int64>(status.configuration_revision);
    object["refused_older_revisions"] = static_cast<Json::Int64>(status.refused_older_revisions);
    object["store_reachable"] = status.is_store_reachable;
    object["stopping"] = status.is_stopping;
    return object;
}

Json::Value to_json(const configuration_view& view) {
    Json::Value object(Json::objectValue);
    object["revision"] = static_cast<Json::Int64>(view.revision);
    object["sections"] = sections_to_json(view.configuration);
    return object;
}

Json::Value to_json(const change_result& result) {
    Json::Value object(Json::objectValue);
    object["revision"] = static_cast<Json::Int64>(result.revision);
    object["repeated"] = result.is_repeated;
    return object;
}

Json::Value to_json(const pool_view& view) {
    Json::Value object(Json::objectValue);
    object["pool"] = view.pool.value();
    object["record_revision"] = static_cast<Json::Int64>(view.record_revision);
    object["unavailable"] = view.unavailable;
    object["vms"] = Json::Value(Json::arrayValue);
    for (const pool_vm_view& vm : view.vms) {
        object["vms"].append(to_json(vm));
    }
    return object;
}

Json::Value to_json(const entry_view& view) {
    Json::Value object(Json::objectValue);
    object["entry"] = view.entry.value();
    object["incarnation"] = view.incarnation.value();
    object["zone"] = view.zone.value();
    object["address"] = view.address;
    object["configuration_revision"] = static_cast<Json::Int64>(view.configuration_revision);
    object["store_reachable"] = view.is_store_reachable;
    object["heartbeat_age_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(view.heartbeat_age));
    return object;
}

Json::Value to_json(const wave_view& view) {
    Json::Value object(Json::objectValue);
    object["wave"] = view.wave.value();
    object["status"] = view.status;
    object["total"] = view.total;
    object["done"] = view.done;
    object["in_progress"] = view.in_progress;
    object["never_returned"] = to_json_array(view.never_returned);
    object["blocked_pools"] = to_json_array(view.blocked_pools);
    return object;
}

Json::Value to_json(const drain_result& result) {
    Json::Value object(Json::objectValue);
    object["pool"] = result.pool.value();
    object["phase"] = result.phase;
    return object;
}

Json::Value error_data_to_json(const operations_error& error) {
    Json::Value data(Json::objectValue);
    data["problems"] = Json::Value(Json::arrayValue);
    for (const configuration_problem& problem : error.problems) {
        Json::Value object(Json::objectValue);
        object["path"] = problem.path;
        object["message"] = problem.message;
        data["problems"].append(object);
    }
    data["conflicts"] = Json::Value(Json::arrayValue);
    for (const section_conflict& conflict : error.conflicts) {
        Json::Value object(Json::objectValue);
        object["section"] = to_string(conflict.section);
        object["author"] = conflict.author;
        object["revision"] = static_cast<Json::Int64>(conflict.revision);
        data["conflicts"].append(object);
    }
    return data;
}

void read_error_data(const Json::Value& data, operations_error& error) {
    if (!data.isObject()) {
        return;
    }
    if (const Json::Value& problems = data["problems"]; problems.isArray()) {
        for (const Json::Value& object : problems) {
            if (object.isObject()) {
                error.problems.push_back({text_member(object, "path"), text_member(object, "message")});
            }
        }
    }
    if (const Json::Value& conflicts = data["conflicts"]; conflicts.isArray()) {
        for (const Json::Value& object : conflicts) {
            if (object.isObject()) {
                read_conflict(object, error);
            }
        }
    }
}

}  // namespace masticpass
