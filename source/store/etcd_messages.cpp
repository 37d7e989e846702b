#include "store/etcd_messages.h"

#include <algorithm>
#include <memory>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "http/text_view.h"

namespace masticpass::etcd {

namespace {

Json::Value compare_revision(std::string_view key, store_revision revision) {
    Json::Value compare;
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["key"] = absl::Base64Escape(to_absl(key));
    compare["mod_revision"] = absl::StrCat(revision);
    return compare;
}

std::string conditional_operation(Json::Value compare, const char* kind, Json::Value operation) {
    Json::Value request;
    request["compare"].append(std::move(compare));
    Json::Value wrapped;
    wrapped[kind] = std::move(operation);
    request["success"].append(std::move(wrapped));
    return to_text(request);
}

}  // namespace

std::string prefix_end(std::string_view prefix) {
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
        end.pop_back();
    }
    if (end.empty()) {
        // A single zero byte denotes the end of the key space.
        return {'\0'};
    }
    ++end.back();
    return end;
}

std::string range_request(std::string_view key, std::string_view range_end) {
    Json::Value request;
    request["key"] = absl::Base64Escape(to_absl(key));
    if (!range_end.empty()) {
        request["range_end"] = absl::Base64Escape(to_absl(range_end));
    }
    return to_text(request);
}

std::string put_request(std::string_view key, store_revision expected_revision, std::string_view value,
                        lease_id lease) {
    Json::Value put;
    put["key"] = absl::Base64Escape(to_absl(key));
    put["value"] = absl::Base64Escape(to_absl(value));
    if (lease != lease_id::none) {
        put["lease"] = absl::StrCat(static_cast<std::int64_t>(lease));
    }
    return conditional_operation(compare_revision(key, expected_revision), "request_put", std::move(put));
}

std::string remove_request(std::string_view key, store_revision expected_revision) {
    Json::Value remove;
    remove["key"] = absl::Base64Escape(to_absl(key));
    return conditional_operation(compare_revision(key, expected_revision), "request_delete_range",
                                 std::move(remove));
}

std::string watch_request(std::string_view key, std::string_view range_end, store_revision start_revision) {
    Json::Value create;
    create["key"] = absl::Base64Escape(to_absl(key));
    create["range_end"] = absl::Base64Escape(to_absl(range_end));
    create["start_revision"] = absl::StrCat(start_revision);
    Json::Value request;
    request["create_request"] = std::move(create);
    return to_text(request);
}

std::string lease_grant_request(std::int64_t seconds) {
    Json::Value request;
    request["TTL"] = absl::StrCat(seconds);
    return to_text(request);
}

std::string lease_keepalive_request(lease_id lease) {
    Json::Value request;
    request["ID"] = absl::StrCat(static_cast<std::int64_t>(lease));
    return to_text(request);
}

std::string to_text(const Json::Value& message) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, message);
}

tl::expected<Json::Value, std::string> parse_object(std::string_view text) {
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        return tl::make_unexpected(errors);
    }
    if (!value.isObject()) {
        return tl::make_unexpected(std::string("not a JSON object"));
    }
    return value;
}

std::int64_t integer_member(const Json::Value& message, const char* name) {
    const Json::Value& member = nested_member(message, name);
    std::int64_t value = 0;
    if (member.isInt64()) {
        return member.asInt64();
    }
    if (member.isString() && absl::SimpleAtoi(member.asString(), &value)) {
        return value;
    }
    return 0;
}

std::string string_member(const Json::Value& message, const char* name) {
    const Json::Value& member = nested_member(message, name);
    return member.isString() ? member.asString() : std::string();
}

bool is_member_true(const Json::Value& message, const char* name) {
    const Json::Value& member = nested_member(message, name);
    return member.isBool() && member.asBool();
}

const Json::Value& nested_member(const Json::Value& message, const char* name) {
    return message.isObject() ? message[name] : Json::Value::nullSingleton();
}

std::string bytes_member(const Json::Value& message, const char* name) {
    std::string bytes;
    return absl::Base64Unescape(string_member(message, name), &bytes) ? bytes : std::string();
}

store_revision header_revision(const Json::Value& response) {
    return integer_member(nested_member(response, "header"), "revision");
}

store_entry parse_entry(const Json::Value& key_value) {
    return {.key = bytes_member(key_value, "key"),
            .value = bytes_member(key_value, "value"),
            .revision = integer_member(key_value, "mod_revision"),
            .lease = static_cast<lease_id>(integer_member(key_value, "lease"))};
}

bool add_watch_message(const Json::Value& message, watch_result& result) {
    const Json::Value& body = nested_member(message, "result");
    if (integer_member(body, "compact_revision") > 0) {
        result.compacted = true;
        return true;
    }
    const Json::Value& events = nested_member(body, "events");
    if (!events.isArray()) {
        return false;
    }
    for (const Json::Value& event : events) {
        store_change change{.entry = parse_entry(nested_member(event, "kv")),
                            .removed = string_member(event, "type") == "DELETE"};
        result.revision = std::max(result.revision, change.entry.revision);
        result.changes.push_back(std::move(change));
    }
    return !events.empty();
}

}  // namespace masticpass::etcd
