#include "decision/configuration/json_object_reader.h"

#include <exception>
#include <memory>
#include <utility>

namespace masticpass {

tl::expected<Json::Value, std::string> parse_json(std::string_view text) {
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder strict;
        Json::CharReaderBuilder::strictMode(&strict.settings_);
        // The parser throws an exception on deeper nesting. Configuration has at most 5 levels.
        strict["stackLimit"] = 32;
        return strict;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return tl::unexpected("expected valid JSON: " + errors);
        }
    } catch (const std::exception& exception) {
        return tl::unexpected("expected valid JSON: " + std::string(exception.what()));
    }
    return value;
}

std::string write_json(const Json::Value& value) {
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        return compact;
    }();
    return Json::writeString(builder, value);
}

json_object_reader::json_object_reader(const Json::Value& value, std::string path,
                                       configuration_problems& problems)
    : path_(std::move(path)), problems_(&problems) {
    if (value.isObject()) {
        object_ = &value;
    } else {
        problems_->push_back({path_, "expected an object"});
    }
}

const Json::Value* json_object_reader::find(const std::string& name) {
    requested_names_.insert(name);
    return object_ == nullptr ? nullptr : object_->find(name.data(), name.data() + name.size());
}

const Json::Value* json_object_reader::require(const std::string& name) {
    const Json::Value* member = find(name);
    if (member == nullptr) {
        report(name, "is required");
    }
    return member;
}

std::optional<int> json_object_reader::integer(const std::string& name) {
    const Json::Value* member = find_typed(name, &Json::Value::isInt, "expected a whole number");
    return member == nullptr ? std::nullopt : std::optional<int>(member->asInt());
}

std::optional<std::int64_t> json_object_reader::large_integer(const std::string& name) {
    const Json::Value* member = find_typed(name, &Json::Value::isInt64, "expected a whole number");
    return member == nullptr ? std::nullopt : std::optional<std::int64_t>(member->asInt64());
}

std::optional<bool> json_object_reader::boolean(const std::string& name) {
    const Json::Value* member = find_typed(name, &Json::Value::isBool, "expected true or false");
    return member == nullptr ? std::nullopt : std::optional<bool>(member->asBool());
}

std::optional<std::string> json_object_reader::text(const std::string& name) {
    const Json::Value* member = find_typed(name, &Json::Value::isString, "expected a string");
    return member == nullptr ? std::nullopt : std::optional<std::string>(member->asString());
}

std::optional<std::vector<std::string>> json_object_reader::texts(const std::string& name) {
    const Json::Value* member = find_typed(name, &Json::Value::isArray, "expected a list of strings");
    if (member == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const Json::Value& element : *member) {
        if (!element.isString()) {
            report(name, "expected a list of strings");
            return std::nullopt;
        }
        texts.push_back(element.asString());
    }
    return texts;
}

void json_object_reader::report_unknown_members() {
    if (object_ == nullptr) {
        return;
    }
    for (const std::string& name : object_->getMemberNames()) {
        if (!requested_names_.contains(name)) {
            report(name, "is unknown");
        }
    }
}

void json_object_reader::report(const std::string& name, std::string message) {
    problems_->push_back({path_of(name), std::move(message)});
}

std::string json_object_reader::path_of(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
}

const Json::Value* json_object_reader::find_typed(const std::string& name,
                                                  bool (Json::Value::*has_expected_type)() const,
                                                  const char* expected) {
    const Json::Value* member = find(name);
    if (member == nullptr) {
        return nullptr;
    }
    // jsoncpp reports a real number without a fractional part, for example 1.0, as an integer.
    if (!(member->*has_expected_type)() || member->type() == Json::realValue) {
        report(name, expected);
        return nullptr;
    }
    return member;
}

}  // namespace masticpass
