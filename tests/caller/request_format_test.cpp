#include "caller/request_format.h"

#include <random>
#include <string>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

const absl::Time now = absl::FromUnixSeconds(1'000'000);

tl::expected<service_request, refusal> read(const httplib::Headers& headers) {
    httplib::Request request;
    request.headers = headers;
    request.body = "work";
    return read_request(request, service_name("s"), now);
}

httplib::Headers with(const std::string& header, const std::string& value) {
    httplib::Headers headers = {{"Masticpass-Timeout-Ms", "1000"}};
    headers.erase(header);
    headers.emplace(header, value);
    return headers;
}

}  // namespace

// Guards against running a malformed request, and against refusing it as "may have run".
TEST_CASE("an invalid value of any header is refused as not run") {
    const std::string too_long(201, 'x');
    const std::vector<std::pair<std::string, std::vector<std::string>>> bad = {
        {"Masticpass-Timeout-Ms",
         {"", "x", "0", "-1", "1.5", "86400001", "99999999999999999999", "0x10", "1e3"}},
        {"Masticpass-Worth", {"", "x", "-1", "nan", "inf", "-inf", "1e10", "1e999"}},
        {"Masticpass-Declared-Ms", {"", "x", "-1", "86400001", "99999999999999999999"}},
        {"Masticpass-Repeatable", {"", "Yes", "true", "1", "yes no"}},
        {"Masticpass-Request-Id", {"a b", "a/b", "\xc3\xa9", "a\r\nb", too_long}},
        {"Masticpass-Kind", {"a b", "a/b", "a\nb", too_long}},
    };
    for (const auto& entry : bad) {
        const std::string& header = entry.first;
        for (const std::string& value : entry.second) {
            CAPTURE(header);
            CAPTURE(value);
            const auto result = read(with(header, value));
            REQUIRE_FALSE(result.has_value());
            CHECK(result.error().outcome == verdict::not_run);
        }
    }
    CHECK_FALSE(read({}).has_value());
}

// Guards against a member that is lost when a request is forwarded to another entry VM.
TEST_CASE("a forwarded request arrives as it was sent") {
    service_request sent;
    sent.service = service_name("s");
    sent.kind = job_kind("print");
    sent.deadline = now + absl::Milliseconds(1500);
    sent.worth = 2.5;
    sent.declared_run_time = absl::Milliseconds(250);
    sent.repeatable = false;
    sent.id = request_id("i1.7");
    sent.content_type = "text/csv";
    const auto received = read(to_headers(sent, now));
    REQUIRE(received.has_value());
    CHECK(received->kind == sent.kind);
    CHECK(received->deadline == sent.deadline);
    CHECK(received->worth == doctest::Approx(sent.worth));
    CHECK(received->declared_run_time == sent.declared_run_time);
    CHECK(received->repeatable == sent.repeatable);
    CHECK(received->id == sent.id);
    CHECK(received->content_type == sent.content_type);
    CHECK(received->body == "work");
}

// Guards against a result that changes on its way through another entry VM.
TEST_CASE("results and refusals of every kind arrive as they were sent") {
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        for (const verdict outcome : {verdict::not_run, verdict::may_have_run}) {
            const refusal sent{outcome, static_cast<refusal_reason>(index), "why", absl::Seconds(3)};
            httplib::Response response;
            write_result(tl::unexpected(sent), response);
            const auto received = read_result(response);
            REQUIRE_FALSE(received.has_value());
            CHECK(received.error().outcome == sent.outcome);
            CHECK(received.error().reason == sent.reason);
            CHECK(received.error().message == sent.message);
            CHECK(received.error().retry_after == sent.retry_after);
        }
    }
    httplib::Response response;
    write_result(service_response{500, "text/csv", "failed"}, response);
    const auto received = read_result(response);
    REQUIRE(received.has_value());
    CHECK(received->status == 500);
    CHECK(received->content_type == "text/csv");
    CHECK(received->body == "failed");
}

// Guards against "ran" or "not run" for a response whose verdict is missing or malformed.
TEST_CASE("a response without a valid verdict counts as may have run") {
    for (const char* value : {"", "Ran", "ran ", "not run", "unknown"}) {
        httplib::Response response;
        response.status = 200;
        response.set_header("Masticpass-Verdict", value);
        response.body = R"({"message":7})";
        const auto result = read_result(response);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().outcome == verdict::may_have_run);
    }
    CHECK(read_result({}).error().outcome == verdict::may_have_run);
}

// Guards against headers that are accepted but lost or changed by forwarding, and against crashes on
// arbitrary bytes.
TEST_CASE("random headers are refused as not run or survive a round trip") {
    constexpr unsigned seed = 20'260;
    std::mt19937 random(seed);
    const std::vector<std::string> pieces = {
        "1",    "9", "-", ".", "e", "yes", "no", "nan", " ", "a", "i1.7", "0", std::string(1, '\0'),
        "\xff", "+"};
    const std::vector<std::string> names = {"Masticpass-Timeout-Ms",  "Masticpass-Worth",
                                            "Masticpass-Declared-Ms", "Masticpass-Repeatable",
                                            "Masticpass-Request-Id",  "Masticpass-Kind"};
    int accepted = 0;
    for (int run = 0; run < 20'000; ++run) {
        httplib::Headers headers = {{"Masticpass-Timeout-Ms", "1000"}};
        const std::string& name = names[random() % names.size()];
        std::string value;
        for (unsigned length = random() % 5; length > 0; --length) {
            value += pieces[random() % pieces.size()];
        }
        headers.erase(name);
        headers.emplace(name, value);
        CAPTURE(run);
        const auto first = read(headers);
        if (!first) {
            CHECK(first.error().outcome == verdict::not_run);
            continue;
        }
        ++accepted;
        const auto second = read(to_headers(*first, now));
        REQUIRE(second.has_value());
        CHECK(second->deadline == first->deadline);
        CHECK(second->id == first->id);
        CHECK(second->kind == first->kind);
        CHECK(second->worth == doctest::Approx(first->worth));
    }
    CHECK(accepted > 100);
}

}  // namespace masticpass
