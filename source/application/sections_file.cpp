#include "application/sections_file.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>

#include <json/json.h>
#include <yaml-cpp/yaml.h>

#include "decision/configuration/configuration_record.h"
#include "decision/configuration/section_json.h"

namespace masticpass {

namespace {

// Maximum nesting depth of a file. Sections have at most 3 levels below the root.
constexpr int maximum_level = 8;

Json::Value scalar_to_json(const YAML::Node& node) {
    const std::string& text = node.Scalar();
    // The tag of a quoted scalar is "!". Such a scalar is a string even if it looks like a number or a
    // Boolean.
    if (node.Tag() == "!") {
        return text;
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    Json::Int64 number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error == std::errc() && stop == end) {
        return number;
    }
    return text;
}

std::runtime_error syntax_error(const YAML::Node& node, const std::string& message) {
    return std::runtime_error("line " + std::to_string(node.Mark().line + 1) + ": " + message);
}

Json::Value to_json(const YAML::Node& node, int level) {
    if (level > maximum_level) {
        throw syntax_error(node, "expected at most " + std::to_string(maximum_level) + " levels of nesting");
    }
    if (node.IsScalar()) {
        return scalar_to_json(node);
    }
    if (node.IsSequence()) {
        Json::Value array(Json::arrayValue);
        for (const auto& element : node) {
            array.append(to_json(element, level + 1));
        }
        return array;
    }
    if (!node.IsMap()) {
        return {};
    }
    Json::Value object(Json::objectValue);
    for (const auto& pair : node) {
        if (!pair.first.IsScalar()) {
            throw syntax_error(pair.first, "expected a single value as the key");
        }
        if (object.isMember(pair.first.Scalar())) {
            throw syntax_error(pair.first, "duplicate key '" + pair.first.Scalar() + "'");
        }
        object[pair.first.Scalar()] = to_json(pair.second, level + 1);
    }
    return object;
}

tl::unexpected<configuration_problems> whole_file_problem(const std::string& file_name,
                                                          const std::string& message) {
    return tl::unexpected(configuration_problems{{file_name, message}});
}

}  // namespace

tl::expected<fleet_configuration, configuration_problems> load_sections(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return whole_file_problem(path, "cannot be opened");
    }
    std::string text(maximum_record_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad()) {
        return whole_file_problem(path, "cannot be read");
    }
    return parse_sections(text, path);
}

// Parses JSON as well, which is a subset of YAML apart from corner cases that do not occur in sections.
tl::expected<fleet_configuration, configuration_problems> parse_sections(std::string_view text,
                                                                         const std::string& file_name) {
    if (text.size() > maximum_record_bytes) {
        return whole_file_problem(file_name, "exceeds the maximum size of a configuration");
    }
    configuration_problems problems;
    fleet_configuration sections;
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        sections = sections_from_json(to_json(root, 0), "", problems);
    } catch (const std::exception& exception) {
        return whole_file_problem(file_name, exception.what());
    }
    if (problems.empty()) {
        return sections;
    }
    for (configuration_problem& problem : problems) {
        problem.path = file_name + ": " + problem.path;
    }
    return tl::unexpected(problems);
}

}  // namespace masticpass
