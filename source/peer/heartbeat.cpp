#include "peer/heartbeat.h"

#include <array>
#include <string_view>

namespace masticpass {

namespace {

constexpr std::array<std::string_view, 3> condition_names = {"leaving", "unreachable", "ejected"};

std::optional<server_condition> parse_condition(const std::string& text) {
    for (std::size_t index = 0; index < condition_names.size(); ++index) {
        if (condition_names.at(index) == text) {
            return static_cast<server_condition>(index);
        }
    }
    return std::nullopt;
}

// Reads the members of a JSON object and records whether all of them are present with the expected type.
class member_reader {
public:
    explicit member_reader(const Json::Value& value) : value_(value), valid_(value.isObject()) {}

    std::string text(const char* name) {
        return expect(name, &Json::Value::isString) ? value_[name].asString() : std::string();
    }
    std::uint64_t number(const char* name) {
        return expect(name, &Json::Value::isUInt64) ? value_[name].asUInt64() : 0;
    }
    int count(const char* name) { return expect(name, &Json::Value::isInt) ? value_[name].asInt() : 0; }
    double real(const char* name) {
        return expect(name, &Json::Value::isNumeric) ? value_[name].asDouble() : 0;
    }
    bool flag(const char* name) { return expect(name, &Json::Value::isBool) && value_[name].asBool(); }

    // Calls `read` with each element of an array; `read` returns whether the element is valid.
    template <typename Read>
    void elements(const char* name, Read read) {
        if (!expect(name, &Json::Value::isArray)) {
            return;
        }
        for (const Json::Value& element : value_[name]) {
            valid_ = read(element) && valid_;
        }
    }

    bool valid() const { return valid_; }

private:
    bool expect(const char* name, bool (Json::Value::*is_type)() const) {
        valid_ = valid_ && value_.isMember(name) && (value_[name].*is_type)();
        return valid_;
    }

    const Json::Value& value_;
    bool valid_;
};

bool read_service(const Json::Value& value, heartbeat& beat) {
    member_reader reader(value);
    service_load load;
    load.service = service_name(reader.text("service"));
    load.free_slots = reader.count("free");
    load.queued = reader.count("queued");
    load.demand_slots = reader.real("demand");
    beat.services.push_back(load);
    return reader.valid();
}

bool read_observation(const Json::Value& value, heartbeat& beat) {
    member_reader reader(value);
    server_observation observation;
    observation.vm = vm_id(reader.text("vm"));
    observation.boot = boot_id(reader.text("boot"));
    const auto condition = parse_condition(reader.text("condition"));
    if (!reader.valid() || !condition) {
        return false;
    }
    observation.condition = *condition;
    beat.observations.push_back(observation);
    return true;
}

bool read_drain_acknowledgement(const Json::Value& value, heartbeat& beat) {
    member_reader reader(value);
    beat.drained.push_back({vm_id(reader.text("vm")), operation_id(reader.text("operation"))});
    return reader.valid();
}

void append_lists(const heartbeat& beat, Json::Value& value) {
    value["unsettled"] = Json::arrayValue;
    for (const vm_id& vm : beat.unsettled) {
        value["unsettled"].append(vm.value());
    }
    value["services"] = Json::arrayValue;
    for (const service_load& load : beat.services) {
        Json::Value element;
        element["service"] = load.service.value();
        element["free"] = load.free_slots;
        element["queued"] = load.queued;
        element["demand"] = load.demand_slots;
        value["services"].append(element);
    }
    value["taken_over"] = Json::arrayValue;
    for (const incarnation_id& incarnation : beat.taken_over) {
        value["taken_over"].append(incarnation.value());
    }
    value["observations"] = Json::arrayValue;
    for (const server_observation& observation : beat.observations) {
        Json::Value element;
        element["vm"] = observation.vm.value();
        element["boot"] = observation.boot.value();
        element["condition"] =
            std::string(condition_names.at(static_cast<std::size_t>(observation.condition)));
        value["observations"].append(element);
    }
    value["drained"] = Json::arrayValue;
    for (const drain_acknowledgement& acknowledgement : beat.drained) {
        Json::Value element;
        element["vm"] = acknowledgement.vm.value();
        element["operation"] = acknowledgement.operation.value();
        value["drained"].append(element);
    }
}

}  // namespace

Json::Value to_json(const heartbeat& beat) {
    Json::Value value;
    value["entry"] = beat.entry.value();
    value["incarnation"] = beat.incarnation.value();
    value["region"] = beat.region.value();
    value["zone"] = beat.zone.value();
    value["address"] = beat.address;
    value["configuration"] = Json::UInt64{beat.configuration_revision};
    value["records"] = Json::UInt64{beat.record_revision};
    value["store"] = beat.store_reachable;
    value["stopping"] = beat.stopping;
    value["epoch"] = Json::UInt64{beat.allotment_epoch};
    value["loads_number"] = Json::UInt64{beat.loads_number};
    value["loads_base"] = Json::UInt64{beat.loads_base};
    value["loads_received"] = Json::UInt64{beat.loads_received};
    append_lists(beat, value);
    return value;
}

std::optional<heartbeat> parse_heartbeat(const Json::Value& value) {
    member_reader reader(value);
    heartbeat beat;
    beat.entry = entry_id(reader.text("entry"));
    beat.incarnation = incarnation_id(reader.text("incarnation"));
    beat.region = region_name(reader.text("region"));
    beat.zone = zone_name(reader.text("zone"));
    beat.address = reader.text("address");
    beat.configuration_revision = reader.number("configuration");
    beat.record_revision = reader.number("records");
    beat.store_reachable = reader.flag("store");
    beat.stopping = reader.flag("stopping");
    beat.allotment_epoch = reader.number("epoch");
    beat.loads_number = reader.number("loads_number");
    beat.loads_base = reader.number("loads_base");
    beat.loads_received = reader.number("loads_received");
    reader.elements("unsettled", [&beat](const Json::Value& element) {
        if (!element.isString()) {
            return false;
        }
        beat.unsettled.emplace_back(element.asString());
        return true;
    });
    reader.elements("taken_over", [&beat](const Json::Value& element) {
        if (!element.isString()) {
            return false;
        }
        beat.taken_over.emplace_back(element.asString());
        return true;
    });
    reader.elements("services", [&beat](const Json::Value& element) { return read_service(element, beat); });
    reader.elements("observations",
                    [&beat](const Json::Value& element) { return read_observation(element, beat); });
    reader.elements(
        "drained", [&beat](const Json::Value& element) { return read_drain_acknowledgement(element, beat); });
    if (!reader.valid()) {
        return std::nullopt;
    }
    return beat;
}

}  // namespace masticpass
