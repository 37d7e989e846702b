#ifndef MASTICPASS_DECISION_CONFIGURATION_JSON_OBJECT_READER_H
#define MASTICPASS_DECISION_CONFIGURATION_JSON_OBJECT_READER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>
#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/configuration/configuration_problem.h"

namespace masticpass {

// Parses one JSON object or array. Duplicate members and trailing text are refused; comments, which carry no
// content, pass in the places where the library skips them. The error says what is wrong.
tl::expected<Json::Value, std::string> parse_json(std::string_view text);

// The value as JSON text without white space; members are in alphabetical order.
std::string write_json(const Json::Value& value);

// Reads the members of one JSON object and reports each that is missing, unknown or of a wrong type. `value`
// and `problems` must outlive the reader. Not thread-safe.
class json_object_reader {
public:
    // A value that is no object is reported and then read as an empty one.
    json_object_reader(const Json::Value& value, std::string path, configuration_problems& problems);

    // The member; nullptr if it is missing.
    const Json::Value* find(const std::string& name);

    // As find, but reports a missing member.
    const Json::Value* require(const std::string& name);

    // Each returns the member's value, or nullopt if it is missing or, with a report, of a wrong type.
    std::optional<int> integer(const std::string& name);
    std::optional<std::int64_t> large_integer(const std::string& name);
    std::optional<bool> boolean(const std::string& name);
    std::optional<std::string> text(const std::string& name);
    std::optional<std::vector<std::string>> texts(const std::string& name);

    // Reports each member that was not asked for. Call once, after all reads.
    void report_unknown_members();

    void report(const std::string& name, std::string message);
    std::string path_of(const std::string& name) const;

private:
    // The member if it is present and `has_expected_type`; reports `expected` if it is present and not.
    const Json::Value* find_typed(const std::string& name, bool (Json::Value::*has_expected_type)() const,
                                  const char* expected);

    const Json::Value* object_ = nullptr;
    std::string path_;
    configuration_problems* problems_;
    std::set<std::string> requested_names_;
};

// Sets `target` if there is a value.
template <typename T, typename Value>
void assign_if(T& target, std::optional<Value> value) {
    if (value) {
        target = T(*std::move(value));
    }
}

template <typename Identifier>
std::vector<Identifier> to_identifiers(const std::vector<std::string>& texts) {
    return std::vector<Identifier>(texts.begin(), texts.end());
}

template <typename Identifier>
Json::Value to_json_array(const std::vector<Identifier>& identifiers) {
    Json::Value array(Json::arrayValue);
    for (const Identifier& one : identifiers) {
        array.append(one.value());
    }
    return array;
}

}  // namespace masticpass

#endif
