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

// Parses one JSON object or array. Duplicate members and trailing text are errors. Comments are accepted
// where the library skips them, as they have no effect on the value. The error describes the cause.
tl::expected<Json::Value, std::string> parse_json(std::string_view text);

// Returns the value as JSON text without white space and with members in alphabetical order.
std::string write_json(const Json::Value& value);

// Reads the members of one JSON object and adds a problem for each that is missing, unknown or of a wrong
// type. `value` and `problems` are not owned and must outlive the reader. Not thread-safe.
class json_object_reader {
public:
    // A value that is not an object is reported and then treated as an object without members.
    json_object_reader(const Json::Value& value, std::string path, configuration_problems& problems);

    // Returns the member, or nullptr if it is missing.
    const Json::Value* find(const std::string& name);

    // Like find(), but reports a missing member.
    const Json::Value* require(const std::string& name);

    // Each returns the value of the member, or nullopt if it is missing or has a wrong type. Only a wrong
    // type is reported.
    std::optional<int> integer(const std::string& name);
    std::optional<std::int64_t> large_integer(const std::string& name);
    std::optional<bool> boolean(const std::string& name);
    std::optional<std::string> text(const std::string& name);
    std::optional<std::vector<std::string>> texts(const std::string& name);

    // Reports each member that no earlier call has read. Must be called once, after all reads.
    void report_unknown_members();

    // Adds a problem with the member `name`.
    void report(const std::string& name, std::string message);

    // Returns the path of the member `name`, as used in problems.
    std::string path_of(const std::string& name) const;

private:
    // Returns the member if it exists and `has_expected_type` holds. Reports `expected` and returns nullptr
    // if it exists with another type.
    const Json::Value* find_typed(const std::string& name, bool (Json::Value::*has_expected_type)() const,
                                  const char* expected);

    const Json::Value* object_ = nullptr;
    std::string path_;
    configuration_problems* problems_;
    std::set<std::string> requested_names_;
};

// Assigns the value, if there is one, to `target`.
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
