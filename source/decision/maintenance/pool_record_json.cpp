#include <limits>
#include <memory>
#include <set>

#include <json/json.h>

#include "decision/maintenance/pool_record.h"

namespace masticpass {

namespace {

// Reads the members of one JSON object and keeps the first error. Members that were not read are an error.
class object_reader {
public:
    object_reader(const Json::Value& object, std::string path, std::string& error)
        : object_(object), path_(std::move(path)), error_(error) {
        if (!object_.isObject()) {
            fail("", "is not an object");
        }
    }

    const Json::Value* member(const char* name, bool required = true) {
        if (!object_.isObject()) {
            return nullptr;
        }
        read_members_.insert(name);
        if (!object_.isMember(name)) {
            if (required) {
                fail(name, "is missing");
            }
            return nullptr;
        }
        return &object_[name];
    }

    std::string text(const char* name, bool required = true) {
        const Json::Value* value = member(name, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->isString() || value->asString().empty()) {
            fail(name, "is not a non-empty string");
            return {};
        }
        return value->asString();
    }

    std::int64_t number(const char* name, bool required = true) {
        const Json::Value* value = member(name, required);
        if (value == nullptr) {
            return 0;
        }
        // jsoncpp accepts 1.0 as an integer, so the type is checked as well.
        if (!value->isInt64() || value->type() == Json::realValue || value->asInt64() < 0) {
            fail(name, "is not a non-negative integer");
            return 0;
        }
        return value->asInt64();
    }

    absl::Time time(const char* name) { return absl::FromUnixMillis(number(name)); }

    bool flag(const char* name) {
        const Json::Value* value = member(name, false);
        if (value != nullptr && !value->isBool()) {
            fail(name, "is not a boolean");
            return false;
        }
        return value != nullptr && value->asBool();
    }

    void fail(const std::string& name, const std::string& problem) {
        if (error_.empty()) {
            error_ = path_ + (name.empty() ? "" : "." + name) + " " + problem;
        }
    }

    // Reports members that were not read. Called after all known members have been read.
    void reject_unread_members() {
        if (!object_.isObject()) {
            return;
        }
        for (const std::string& name : object_.getMemberNames()) {
            if (!read_members_.contains(name)) {
                fail(name, "is unknown");
            }
        }
    }

private:
    const Json::Value& object_;
    std::string path_;
    std::string& error_;
    std::set<std::string> read_members_;
};

void write_unless_empty(Json::Value& object, const char* name, const std::string& value) {
    if (!value.empty()) {
        object[name] = value;
    }
}

void write_unless_empty(Json::Value& object, const char* name, std::int64_t value) {
    if (value != 0) {
        object[name] = Json::Int64{value};
    }
}

Json::Value write_vm(const pool_vm& vm) {
    Json::Value value(Json::objectValue);
    value["zone"] = vm.zone.value();
    value["rack"] = vm.rack.value();
    value["phase"] = std::string(to_string(vm.phase));
    value["since"] = Json::Int64{absl::ToUnixMillis(vm.since)};
    value["maintained_at"] = Json::Int64{absl::ToUnixMillis(vm.maintained_at)};
    write_unless_empty(value, "operation", vm.operation.value());
    write_unless_empty(value, "actor", vm.actor.value());
    write_unless_empty(value, "wave", vm.wave.value());
    write_unless_empty(value, "old_boot", vm.old_boot.value());
    write_unless_empty(value, "old_boot_index", vm.old_boot_index);
    write_unless_empty(value, "other_pool", vm.other_pool.value());
    write_unless_empty(value, "source_revision", vm.source_revision);
    if (vm.joining) {
        value["joining"] = true;
    }
    return value;
}

void check_phase_members(const pool_vm& vm, object_reader& reader) {
    const bool operating = vm.phase != vm_phase::serving && vm.phase != vm_phase::failed;
    if (operating == vm.operation.empty()) {
        reader.fail("operation", "does not match the phase");
    }
    if (vm.phase == vm_phase::acting && vm.old_boot.empty()) {
        reader.fail("old_boot", "is missing although the VM is acting");
    }
    if (vm.phase == vm_phase::moving_out && vm.other_pool.empty()) {
        reader.fail("other_pool", "is missing although the VM is moving out");
    }
    if (vm.joining && vm.phase != vm_phase::acting) {
        reader.fail("joining", "does not match the phase");
    }
}

pool_vm read_vm(const Json::Value& value, const std::string& path, std::string& error) {
    object_reader reader(value, path, error);
    pool_vm vm;
    vm.zone = zone_name(reader.text("zone"));
    vm.rack = rack_name(reader.text("rack"));
    const std::string phase = reader.text("phase");
    if (const auto parsed = parse_vm_phase(phase)) {
        vm.phase = *parsed;
    } else {
        reader.fail("phase", "is unknown");
    }
    vm.since = reader.time("since");
    vm.maintained_at = reader.time("maintained_at");
    vm.operation = operation_id(reader.text("operation", false));
    vm.actor = incarnation_id(reader.text("actor", false));
    vm.wave = wave_name(reader.text("wave", false));
    vm.old_boot = boot_id(reader.text("old_boot", false));
    vm.old_boot_index = reader.number("old_boot_index", false);
    vm.other_pool = pool_name(reader.text("other_pool", false));
    vm.source_revision = reader.number("source_revision", false);
    vm.joining = reader.flag("joining");
    reader.reject_unread_members();
    check_phase_members(vm, reader);
    return vm;
}

departure read_departure(const Json::Value& value, const std::string& path, std::string& error) {
    object_reader reader(value, path, error);
    departure departed;
    departed.target = pool_name(reader.text("target"));
    departed.operation = operation_id(reader.text("operation"));
    departed.target_revision = reader.number("target_revision");
    reader.reject_unread_members();
    return departed;
}

wave_progress read_wave(const Json::Value& value, const std::string& path, std::string& error) {
    object_reader reader(value, path, error);
    wave_progress wave;
    wave.started_at = reader.time("started_at");
    wave.ended = reader.flag("ended");
    if (const Json::Value* names = reader.member("never_returned", false)) {
        if (!names->isArray()) {
            reader.fail("never_returned", "is not an array");
        }
        for (Json::ArrayIndex index = 0; names->isArray() && index < names->size(); ++index) {
            if (!(*names)[index].isString()) {
                reader.fail("never_returned", "contains a value that is not a string");
                break;
            }
            wave.never_returned.emplace_back((*names)[index].asString());
        }
    }
    reader.reject_unread_members();
    return wave;
}

// Reads an object whose members are objects; `read_one` parses each member.
template <typename Key, typename Value>
void read_map(object_reader& reader, const char* name, std::map<Key, Value>& result, std::string& error,
              Value (*read_one)(const Json::Value&, const std::string&, std::string&)) {
    const Json::Value* items = reader.member(name);
    if (items == nullptr) {
        return;
    }
    if (!items->isObject()) {
        reader.fail(name, "is not an object");
        return;
    }
    for (const std::string& key : items->getMemberNames()) {
        result.emplace(Key(key), read_one((*items)[key], std::string(name) + "." + key, error));
    }
}

}  // namespace

std::string serialize(const pool_record& record) {
    Json::Value root(Json::objectValue);
    root["pool"] = record.pool.value();
    write_unless_empty(root, "last_change", record.last_change.value());
    write_unless_empty(root, "last_writer", record.last_writer.value());
    root["vms"] = Json::Value(Json::objectValue);
    for (const auto& [id, vm] : record.vms) {
        root["vms"][id.value()] = write_vm(vm);
    }
    root["departures"] = Json::Value(Json::objectValue);
    for (const auto& [id, departed] : record.departures) {
        Json::Value& value = root["departures"][id.value()];
        value["target"] = departed.target.value();
        value["operation"] = departed.operation.value();
        value["target_revision"] = Json::Int64{departed.target_revision};
    }
    root["waves"] = Json::Value(Json::objectValue);
    for (const auto& [name, wave] : record.waves) {
        Json::Value& value = root["waves"][name.value()];
        value["started_at"] = Json::Int64{absl::ToUnixMillis(wave.started_at)};
        if (wave.ended) {
            value["ended"] = true;
        }
        for (const vm_id& id : wave.never_returned) {
            value["never_returned"].append(id.value());
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

tl::expected<pool_record, std::string> parse_pool_record(std::string_view text) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> json_reader(builder.newCharReader());
    Json::Value root;
    std::string error;
    try {
        if (!json_reader->parse(text.data(), text.data() + text.size(), &root, &error)) {
            return tl::unexpected("pool record is not valid JSON: " + error);
        }
    } catch (const Json::Exception& exception) {
        // jsoncpp throws if the text is nested too deeply.
        return tl::unexpected(std::string("pool record is not valid JSON: ") + exception.what());
    }
    error.clear();
    object_reader reader(root, "pool record", error);
    pool_record record;
    record.pool = pool_name(reader.text("pool"));
    record.last_change = change_id(reader.text("last_change", false));
    record.last_writer = incarnation_id(reader.text("last_writer", false));
    read_map(reader, "vms", record.vms, error, read_vm);
    read_map(reader, "departures", record.departures, error, read_departure);
    read_map(reader, "waves", record.waves, error, read_wave);
    reader.reject_unread_members();
    if (!error.empty()) {
        return tl::unexpected(error);
    }
    return record;
}

}  // namespace masticpass
