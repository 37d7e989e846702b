#include <thread>

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;

constexpr fleet_options one_server_per_zone = {.vms_per_zone = 1, .entries_per_zone = 1};

caller_answer post(const test_fleet& fleet, const std::string& path, const httplib::Headers& headers,
                   const std::string& body) {
    httplib::Client client("http://" + fleet.address("entry-a1", test_fleet::listener::caller));
    client.set_read_timeout(std::chrono::seconds(10));
    const auto answer = client.Post(path, headers, body, "application/json");
    if (!answer) {
        return {};
    }
    return {answer->status, answer->get_header_value("Masticpass-Verdict"),
            answer->get_header_value("Masticpass-Reason"), answer->body, absl::ZeroDuration()};
}

struct bad_request {
    std::string name;
    httplib::Headers headers;
    std::string reason;
    std::string verdict = "not-run";
    std::string service = "proofs";
    std::string body = R"({"job":"bad"})";
};

// Sends raw bytes and returns all bytes that are received until the connection ends.
std::string send_raw(const test_fleet& fleet, const std::string& bytes) {
    const auto target = parse_socket_address(fleet.address("entry-a1", test_fleet::listener::caller)).value();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval receive_timeout{10, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    static_cast<void>(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    ::shutdown(descriptor, SHUT_WR);
    std::string answer;
    char buffer[4096];
    ssize_t size = 0;
    while ((size = ::recv(descriptor, buffer, sizeof buffer, 0)) > 0) {
        answer.append(buffer, static_cast<std::size_t>(size));
    }
    ::close(descriptor);
    return answer;
}

}  // namespace

// Guards against an invalid request that is run, terminates the entry VM, or gets a response without a
// verdict.
TEST_CASE("an invalid request on the callers' interface is refused with the right verdict") {
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    const std::pair<std::string, std::string> timeout = {"Masticpass-Timeout-Ms", "5000"};
    const std::pair<std::string, std::string> repeatable = {"Masticpass-Repeatable", "yes"};
    const std::string own_incarnation = (*fleet.operations("entry-a1").status())["incarnation"].asString();
    const std::vector<bad_request> requests = {
        {"no deadline", {repeatable}, "invalid-request"},
        {"deadline is not a number", {{"Masticpass-Timeout-Ms", "soon"}, repeatable}, "invalid-request"},
        {"deadline out of range",
         {{"Masticpass-Timeout-Ms", "99999999999999999999"}, repeatable},
         "invalid-request"},
        {"deadline is zero", {{"Masticpass-Timeout-Ms", "0"}, repeatable}, "deadline-passed"},
        {"past deadline", {{"Masticpass-Timeout-Ms", "-5"}, repeatable}, "deadline-passed"},
        {"worth is not a number", {timeout, repeatable, {"Masticpass-Worth", "nan"}}, "invalid-request"},
        {"negative run time", {timeout, repeatable, {"Masticpass-Declared-Ms", "-1"}}, "invalid-request"},
        {"repeatable is neither yes nor no",
         {timeout, {"Masticpass-Repeatable", "perhaps"}},
         "invalid-request"},
        {"kind with a slash", {timeout, repeatable, {"Masticpass-Kind", "a/b"}}, "invalid-request"},
        {"kind too long",
         {timeout, repeatable, {"Masticpass-Kind", std::string(201, 'k')}},
         "invalid-request"},
        {"unknown service", {timeout, repeatable}, "unknown-service", "not-run", "no-such"},
        {"no identity", {timeout}, "identity-required"},
        {"identity of wrong form",
         {timeout, {"Masticpass-Request-Id", "not-an-identity"}},
         "identity-unknown"},
        {"identity never issued",
         {timeout, {"Masticpass-Request-Id", own_incarnation + ".999999999"}},
         "identity-unknown"},
        {"sequence out of range",
         {timeout, {"Masticpass-Request-Id", own_incarnation + ".99999999999999999999999"}},
         "identity-unknown"},
        // The issuer may have run the request before it was lost.
        {"identity of a lost issuer",
         {timeout, {"Masticpass-Request-Id", "0000000000000000-00000000.1"}},
         "issuer-gone",
         "may-have-run"},
        {"body too large",
         {timeout, repeatable},
         "request-too-large",
         "not-run",
         "proofs",
         std::string((8U << 20U) + 1, 'x')},
        {"header line too long",
         {timeout, repeatable, {"X-Long", std::string(20000, 'x')}},
         // The headers that were not read may contain an identity.
         "invalid-request",
         "may-have-run"},
        {"deadline is not a number, identity never issued",
         {{"Masticpass-Timeout-Ms", "soon"}, {"Masticpass-Request-Id", own_incarnation + ".999999999"}},
         "invalid-request",
         "may-have-run"},
    };
    for (const bad_request& bad : requests) {
        const caller_answer answer =
            post(fleet, "/v1/services/" + bad.service + "/requests", bad.headers, bad.body);
        INFO(bad.name, ": ", answer.status, " ", answer.verdict, " ", answer.reason, " ", answer.body);
        REQUIRE(answer.status >= 400);
        REQUIRE(answer.verdict == bad.verdict);
        REQUIRE(answer.reason == bad.reason);
        Json::Value body;
        REQUIRE(Json::Reader().parse(answer.body, body));
        REQUIRE(body["verdict"].asString() == bad.verdict);
        REQUIRE(!body["message"].asString().empty());
    }
    for (const std::string& vm : fleet.vms()) {
        REQUIRE(fleet.counters(vm)["distinct_jobs"].asInt() == 0);
    }
    REQUIRE(post(fleet, "/v1/services/proofs/requests", {timeout, repeatable}, R"({"job":"good"})").status ==
            200);
}

// Guards against bytes that are not an HTTP request and terminate the entry VM or occupy a connection.
TEST_CASE("bytes that are not an HTTP request are refused and the entry VM continues to serve") {
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    // Each input has the verdict that a response must have. Headers that were not read may contain an
    // identity.
    const std::vector<std::pair<std::string, std::string>> inputs = {
        {"\r\n\r\n", "may-have-run"},
        {"POST\r\n\r\n", "may-have-run"},
        {std::string(100000, 'x'), "may-have-run"},
        {"POST /v1/services/proofs/requests HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "not-run"},
        {"POST /v1/services/proofs/requests HTTP/1.1\r\nContent-Length: 100\r\n\r\n{}", "not-run"},
        {"POST /v1/services/proofs/requests HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "not-run"},
        {std::string("\0\1\2\3\r\n\r\n", 8), "may-have-run"},
    };
    for (const auto& [input, expected] : inputs) {
        const std::string answer = send_raw(fleet, input);
        // INFO creates a lambda, which cannot capture a structured binding.
        const std::string input_prefix = input.substr(0, 60);
        INFO(input_prefix, " -> ", answer);
        // The connection is closed, or the response is an error with a verdict.
        REQUIRE((answer.empty() || (answer.find("HTTP/1.1 4") == 0 &&
                                    answer.find("Masticpass-Verdict: " + expected) != std::string::npos)));
    }
    REQUIRE(post(fleet, "/v1/services/proofs/requests",
                 {{"Masticpass-Timeout-Ms", "5000"}, {"Masticpass-Repeatable", "yes"}}, R"({"job":"good"})")
                .status == 200);
}

// Guards against cancelled requests that still occupy their places in the queue.
TEST_CASE("many cancellations free the places in the queue at once") {
    test_fleet fleet(one_server_per_zone);
    // Only one entry VM is started, so that no peer takes its requests.
    fleet.start_entry("entry-a1");
    fleet.declare();
    constexpr int slots = 8;
    constexpr int queued = 40;
    std::vector<caller_answer> answers(slots + queued);
    std::vector<std::thread> callers;
    const auto submit = [&](int index, int run_ms) {
        callers.emplace_back([&, index, run_ms] {
            const std::string id = absl::StrCat("repeatable-", index);
            answers[static_cast<std::size_t>(index)] =
                fleet.send("entry-a1",
                           {{"Masticpass-Timeout-Ms", "15000"},
                            {"Masticpass-Repeatable", "yes"},
                            {"Masticpass-Request-Id", id}},
                           absl::StrCat(R"({"job":")", id, R"(","run_ms":)", run_ms, "}"));
        });
    };
    for (int index = 0; index < slots; ++index) {
        submit(index, 4000);
    }
    const bool are_slots_taken =
        wait_until([&] { return fleet.counters("vm-a1")["running"].asInt() == slots; });
    for (int index = slots; index < slots + queued; ++index) {
        submit(index, 5);
    }
    const bool are_queued = wait_until([&] {
        return fleet.metric("masticpass_requests_open") == slots + queued &&
               fleet.metric("masticpass_queued_requests{") >= queued;
    });
    httplib::Client client("http://" + fleet.address("entry-a1", test_fleet::listener::caller));
    client.set_keep_alive(true);
    const absl::Time start = absl::Now();
    std::vector<std::string> verdicts;
    for (int index = slots; index < slots + queued; ++index) {
        const auto answer = client.Delete(absl::StrCat("/v1/requests/repeatable-", index));
        verdicts.push_back(answer ? answer->get_header_value("Masticpass-Verdict") : "");
    }
    const absl::Duration elapsed = absl::Now() - start;
    for (std::thread& caller : callers) {
        caller.join();
    }
    REQUIRE(are_slots_taken);
    REQUIRE(are_queued);
    // Shorter than the run time of the running requests, so their completion did not free the places.
    REQUIRE(elapsed < absl::Seconds(2));
    for (int index = 0; index < slots + queued; ++index) {
        const caller_answer& answer = answers[static_cast<std::size_t>(index)];
        INFO(index, ": ", answer.status, " ", answer.verdict, " ", answer.reason);
        if (index < slots) {
            REQUIRE(answer.status == 200);
            continue;
        }
        REQUIRE(verdicts[static_cast<std::size_t>(index - slots)] == "not-run");
        REQUIRE(answer.verdict == "not-run");
        REQUIRE(answer.reason == "cancelled");
        REQUIRE(answer.elapsed < absl::Seconds(4));
    }
    REQUIRE(fleet.counters("vm-a1")["distinct_jobs"].asInt() == slots);
}

}  // namespace masticpass::process_test
