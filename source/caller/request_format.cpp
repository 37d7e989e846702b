#include "caller/request_format.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <json/json.h>

namespace masticpass {

namespace {

constexpr const char* timeout_header = "Masticpass-Timeout-Ms";
constexpr const char* worth_header = "Masticpass-Worth";
constexpr const char* kind_header = "Masticpass-Kind";
constexpr const char* declared_header = "Masticpass-Declared-Ms";
constexpr const char* repeatable_header = "Masticpass-Repeatable";
constexpr const char* id_header = "Masticpass-Request-Id";
constexpr const char* verdict_header = "Masticpass-Verdict";
constexpr const char* reason_header = "Masticpass-Reason";
constexpr const char* retry_after_header = "Retry-After";

constexpr std::int64_t maximum_timeout_ms = 24LL * 60 * 60 * 1000;
constexpr double maximum_worth = 1e9;
constexpr std::size_t maximum_identifier_length = 200;

refusal invalid(std::string message) {
    return refusal{verdict::not_run, refusal_reason::invalid_request, std::move(message)};
}

bool is_identifier(const std::string& text) {
    const auto is_allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_' ||
               character == '.';
    };
    return text.size() <= maximum_identifier_length && std::all_of(text.begin(), text.end(), is_allowed);
}

// Reads a number of milliseconds; nullopt if the header is absent.
tl::expected<std::optional<absl::Duration>, refusal> read_milliseconds(const httplib::Request& request,
                                                                       const char* header) {
    if (!request.has_header(header)) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(request.get_header_value(header), &milliseconds) ||
        milliseconds > maximum_timeout_ms) {
        return tl::unexpected(invalid(
            absl::StrCat(header, " must be a number of milliseconds of at most ", maximum_timeout_ms)));
    }
    return absl::Milliseconds(milliseconds);
}

tl::expected<void, refusal> read_deadline(const httplib::Request& request, absl::Time now,
                                          service_request& result) {
    const auto timeout = read_milliseconds(request, timeout_header);
    if (!timeout) {
        return tl::unexpected(timeout.error());
    }
    if (!timeout->has_value()) {
        return tl::unexpected(invalid(absl::StrCat(timeout_header, " is required")));
    }
    if (**timeout <= absl::ZeroDuration()) {
        return tl::unexpected(
            refusal{verdict::not_run, refusal_reason::deadline_passed, "the deadline has already passed"});
    }
    result.deadline = now + **timeout;
    return {};
}

tl::expected<void, refusal> read_declared_run_time(const httplib::Request& request, service_request& result) {
    const auto declared = read_milliseconds(request, declared_header);
    if (!declared) {
        return tl::unexpected(declared.error());
    }
    if (declared->has_value() && **declared < absl::ZeroDuration()) {
        return tl::unexpected(invalid(absl::StrCat(declared_header, " must not be negative")));
    }
    result.declared_run_time = *declared;
    return {};
}

tl::expected<void, refusal> read_worth(const httplib::Request& request, service_request& result) {
    if (!request.has_header(worth_header)) {
        return {};
    }
    const bool is_number = absl::SimpleAtod(request.get_header_value(worth_header), &result.worth);
    if (!is_number || !std::isfinite(result.worth) || result.worth < 0 || result.worth > maximum_worth) {
        return tl::unexpected(
            invalid(absl::StrCat(worth_header, " must be a number from 0 to ", maximum_worth)));
    }
    return {};
}

tl::expected<void, refusal> read_identity(const httplib::Request& request, service_request& result) {
    const std::string repeatable =
        request.has_header(repeatable_header) ? request.get_header_value(repeatable_header) : "no";
    if (repeatable != "yes" && repeatable != "no") {
        return tl::unexpected(invalid(absl::StrCat(repeatable_header, " must be yes or no")));
    }
    result.repeatable = repeatable == "yes";
    const std::string id = request.get_header_value(id_header);
    const std::string kind = request.get_header_value(kind_header);
    if (!is_identifier(id) || !is_identifier(kind)) {
        return tl::unexpected(invalid(
            absl::StrCat(id_header, " and ", kind_header,
                         " may contain only letters, digits, '-', '_' and '.', with a maximum length of ",
                         maximum_identifier_length)));
    }
    result.id = request_id(id);
    result.kind = job_kind(kind);
    return {};
}

int status_of(const refusal& refused) {
    switch (refused.reason) {
        case refusal_reason::invalid_request:
        case refusal_reason::identity_required:
            return 400;
        case refusal_reason::unknown_service:
            return 404;
        case refusal_reason::identity_in_use:
            return 409;
        case refusal_reason::identity_unknown:
        case refusal_reason::identity_expired:
        case refusal_reason::issuer_gone:
            return 410;
        case refusal_reason::request_too_large:
            return 413;
        case refusal_reason::deadline_passed:
        case refusal_reason::answer_timeout:
            return 504;
        default:
            return refused.outcome == verdict::not_run ? 503 : 502;
    }
}

std::optional<Json::Value> parse_object(const std::string& text) {
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject()) {
        return std::nullopt;
    }
    return value;
}

refusal read_refusal(const httplib::Response& response) {
    refusal refused;
    refused.outcome =
        parse_verdict(response.get_header_value(verdict_header)).value_or(verdict::may_have_run);
    refused.reason = parse_refusal_reason(response.get_header_value(reason_header))
                         .value_or(refusal_reason::internal_error);
    const auto body = parse_object(response.body);
    if (body && (*body)["message"].isString()) {
        refused.message = (*body)["message"].asString();
    }
    int seconds = 0;
    if (absl::SimpleAtoi(response.get_header_value(retry_after_header), &seconds)) {
        refused.retry_after = absl::Seconds(seconds);
    }
    return refused;
}

}  // namespace

tl::expected<service_request, refusal> read_request(const httplib::Request& request,
                                                    const service_name& service, absl::Time now) {
    service_request result;
    result.service = service;
    const auto read = read_deadline(request, now, result)
                          .and_then([&] { return read_declared_run_time(request, result); })
                          .and_then([&] { return read_worth(request, result); })
                          .and_then([&] { return read_identity(request, result); });
    if (!read) {
        return tl::unexpected(read.error());
    }
    result.content_type = request.get_header_value("Content-Type");
    result.body = request.body;
    return result;
}

verdict refusal_verdict(const httplib::Request& request, request_handler& handler) {
    const std::string id = request.get_header_value(id_header);
    const bool is_single = request.get_header_value_count(id_header) <= 1;
    if (!id.empty() || !is_single) {
        return is_single && handler.is_unused(request_id(id)) ? verdict::not_run : verdict::may_have_run;
    }
    // The HTTP library sets the address of the sender after it has read the last header.
    return request.remote_addr.empty() ? verdict::may_have_run : verdict::not_run;
}

httplib::Headers to_headers(const service_request& request, absl::Time now) {
    httplib::Headers headers = {
        {timeout_header, absl::StrCat(absl::ToInt64Milliseconds(request.deadline - now))},
        {worth_header, absl::StrCat(request.worth)},
        {repeatable_header, request.repeatable ? "yes" : "no"},
        {kind_header, request.kind.value()},
        {id_header, request.id.value()},
        {"Content-Type", request.content_type},
    };
    if (request.declared_run_time) {
        headers.emplace(declared_header, absl::StrCat(absl::ToInt64Milliseconds(*request.declared_run_time)));
    }
    return headers;
}

void write_refusal(const refusal& refused, httplib::Response& response) {
    response.status = status_of(refused);
    response.set_header(verdict_header, std::string(to_string(refused.outcome)));
    response.set_header(reason_header, std::string(to_string(refused.reason)));
    if (refused.retry_after) {
        const auto seconds =
            static_cast<std::int64_t>(std::ceil(absl::ToDoubleSeconds(*refused.retry_after)));
        response.set_header(retry_after_header, absl::StrCat(std::max<std::int64_t>(seconds, 1)));
    }
    Json::Value body;
    body["verdict"] = std::string(to_string(refused.outcome));
    body["reason"] = std::string(to_string(refused.reason));
    body["message"] = refused.message;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    response.set_content(Json::writeString(writer, body), "application/json");
}

void write_result(const request_result& result, httplib::Response& response) {
    if (!result) {
        write_refusal(result.error(), response);
        return;
    }
    response.status = result->status;
    response.set_header(verdict_header, std::string(to_string(verdict::ran)));
    response.set_content(result->body, result->content_type.empty() ? std::string("application/octet-stream")
                                                                    : result->content_type);
}

request_result read_result(const httplib::Response& response) {
    const bool ran = parse_verdict(response.get_header_value(verdict_header)) == verdict::ran;
    if (!ran || response.has_header(reason_header)) {
        return tl::unexpected(read_refusal(response));
    }
    return service_response{response.status, response.get_header_value("Content-Type"), response.body};
}

}  // namespace masticpass
