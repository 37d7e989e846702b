#include "caller/caller_server.h"

#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "decision/serving/request_identity.h"
#include "http/server.h"
#include "routing/identity_registry_set.h"

namespace masticpass {

namespace {

constexpr std::size_t maximum_body_bytes = 100;

// Issues identities and counts requests. No request of these tests may reach it.
struct refusing_handler final : request_handler {
    request_result handle(const service_request&) override {
        ++handled;
        return tl::unexpected(refusal{verdict::may_have_run, refusal_reason::internal_error, "not expected"});
    }
    tl::expected<std::vector<request_id>, refusal> issue_identities(std::size_t count) override {
        return identities.issue(count);
    }
    bool is_unused(const request_id& id) override {
        const auto identity = request_identity::parse(id.value());
        return identity && identities.is_unused(*identity);
    }
    verdict cancel(const request_id&, bool) override { return verdict::may_have_run; }

    monotonic_clock time;
    identity_registry_set identities{incarnation_id("i1"), {}, time};
    int handled = 0;
};

struct fixture {
    refusing_handler handler;
    metrics_registry metrics;
    std::unique_ptr<http_server> server;
    std::string unused;
    std::string begun;
    std::string finished;

    fixture() {
        const auto issued = handler.identities.issue(3).value();
        unused = issued[0].value();
        begun = issued[1].value();
        finished = issued[2].value();
        static_cast<void>(handler.identities.begin(*request_identity::parse(begun)));
        static_cast<void>(handler.identities.begin(*request_identity::parse(finished)));
        handler.identities.finish(*request_identity::parse(finished), service_response{200, "", "done"});
        http_server_options options;
        options.worker_threads = 2;
        options.maximum_request_bytes = maximum_body_bytes;
        options.keep_alive_timeout = absl::Seconds(1);
        options.read_timeout = absl::Milliseconds(300);
        server = std::move(*http_server::create("127.0.0.1", 0, options));
        add_request_routes(server->routes(), handler, handler.time, metrics, false);
        server->start();
    }

    // Sends the bytes and returns all bytes received until the server closes the connection.
    std::string exchange(const std::string& bytes) const {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{10, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        static_cast<void>(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        std::string response;
        char buffer[4096];
        ssize_t size = 0;
        while ((size = ::recv(descriptor, buffer, sizeof buffer, 0)) > 0) {
            response.append(buffer, static_cast<std::size_t>(size));
        }
        ::close(descriptor);
        return response;
    }

    // Returns the verdict and the reason in the response to a request; `id` may be empty.
    std::string refusal_of(const std::string& id, const std::string& headers, const std::string& body = "x",
                           const std::string& path = "/v1/services/s/requests") const {
        const std::string id_line = id.empty() ? "" : "Masticpass-Request-Id: " + id + "\r\n";
        const std::string response =
            exchange(absl::StrCat("POST ", path, " HTTP/1.1\r\nContent-Length: ", body.size(), "\r\n",
                                  id_line, headers, "Connection: close\r\n\r\n", body));
        return value_of(response, "Masticpass-Verdict") + " " + value_of(response, "Masticpass-Reason");
    }

    static std::string value_of(const std::string& response, const std::string& header) {
        const std::size_t start = response.find("\r\n" + header + ": ");
        if (start == std::string::npos) {
            return "none";
        }
        const std::size_t value = start + header.size() + 4;
        return response.substr(value, response.find("\r\n", value) - value);
    }
};

struct refused_request {
    std::string headers;
    std::string reason;
    std::string body = "x";
    std::string path = "/v1/services/s/requests";
};

}  // namespace

// Guards against "not run" for a request that ran when it was sent before with the same identity.
TEST_CASE_FIXTURE(fixture,
                  "a request with an identity is refused as not run only if the identity is unused") {
    const std::vector<refused_request> requests = {
        {"", "invalid-request"},
        {"Masticpass-Timeout-Ms: soon\r\n", "invalid-request"},
        {"Masticpass-Timeout-Ms: 0\r\n", "deadline-passed"},
        {"Masticpass-Timeout-Ms: 1000\r\nMasticpass-Worth: nan\r\n", "invalid-request"},
        {"Masticpass-Timeout-Ms: 1000\r\n", "request-too-large", std::string(maximum_body_bytes + 1, 'x')},
        {"Masticpass-Timeout-Ms: 1000\r\n", "invalid-request", "x", "/v1/no/such/path"},
    };
    for (const refused_request& sent : requests) {
        CAPTURE(sent.headers);
        CAPTURE(sent.reason);
        const auto refused = [&](const std::string& id) {
            return refusal_of(id, sent.headers, sent.body, sent.path);
        };
        CHECK(refused("") == "not-run " + sent.reason);
        CHECK(refused(unused) == "not-run " + sent.reason);
        CHECK(refused(begun) == "may-have-run " + sent.reason);
        CHECK(refused(finished) == "may-have-run " + sent.reason);
        CHECK(refused("i1.4") == "may-have-run " + sent.reason);
        CHECK(refused("i2.1") == "may-have-run " + sent.reason);
        CHECK(refused("not-issued") == "may-have-run " + sent.reason);
        CHECK(refused("a/b") == "may-have-run " + sent.reason);
    }
    // With two identities, it is not known to which of them the request belongs.
    CHECK(refusal_of(unused, "Masticpass-Request-Id: " + begun + "\r\n") == "may-have-run invalid-request");
    CHECK(handler.handled == 0);
}

// Guards against "not run" for a request whose identity was in the headers that the HTTP library did not
// read.
TEST_CASE_FIXTURE(fixture, "a request whose headers were not all read may have run") {
    const std::string long_header = "X-Long: " + std::string(20000, 'x') + "\r\n";
    const std::string id_line = "Masticpass-Request-Id: " + begun + "\r\n";
    CHECK(refusal_of("", long_header) == "may-have-run invalid-request");
    CHECK(refusal_of("", long_header + id_line) == "may-have-run invalid-request");
    CHECK(refusal_of("", id_line + long_header) == "may-have-run invalid-request");
    CHECK(refusal_of(unused, long_header) == "not-run invalid-request");
    CHECK(refusal_of("", id_line, "x", "/" + std::string(9000, 'p')) == "may-have-run invalid-request");
    const std::string no_request_line = exchange("POST\r\n" + id_line + "\r\n");
    CHECK(value_of(no_request_line, "Masticpass-Verdict") == "may-have-run");
    // All headers were read; only the body is incomplete.
    const std::string short_body =
        exchange("POST /v1/services/s/requests HTTP/1.1\r\nContent-Length: 50\r\n\r\n{}");
    CHECK(value_of(short_body, "Masticpass-Verdict") == "not-run");
    CHECK(handler.handled == 0);
}

}  // namespace masticpass
