#include "backend/http_backend_client.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/notification.h>
#include <doctest/doctest.h>

#include "fakes/manual_clock.h"
#include "fakes/raw_server.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

using fakes::raw_connection;

class counting_quota final : public connection_quota {
public:
    explicit counting_quota(int limit) : limit_(limit) {}
    bool acquire_connection(std::string_view) override {
        if (open_ >= limit_) {
            return false;
        }
        ++open_;
        return true;
    }
    void release_connection(std::string_view) override { --open_; }
    int open() const { return open_.load(); }

private:
    const int limit_;
    std::atomic<int> open_ = 0;
};

// Returns a response to the attempt `id`, with the id as its body.
std::string response_to(const std::string& id, const std::string& status = "200 OK",
                        const std::string& headers = "") {
    return "HTTP/1.1 " + status + "\r\nMasticpass-Attempt-Id: " + id + "\r\n" + headers +
           "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

void send_own_response(raw_connection& link, const std::string& request) {
    link.send(response_to(fakes::header_of(request, "Masticpass-Attempt-Id")));
}

struct client_fixture {
    static constexpr absl::Duration long_timeout = absl::Seconds(20);
    static constexpr absl::Duration short_timeout = absl::Milliseconds(100);

    fakes::manual_clock time;
    counting_quota quota{2};
    backend_limits limits{.connection = {.response_bytes = 1000}};
    std::unique_ptr<http_backend_client> client = std::make_unique<http_backend_client>(limits, time, quota);
    int attempts = 0;

    tl::expected<backend_response, attempt_failure> run(const std::string& address,
                                                        absl::Duration timeout = long_timeout) {
        const std::string id = "a" + std::to_string(++attempts);
        backend_request request;
        request.address = address;
        request.attempt = attempt_id(id);
        request.content_type = "text/plain";
        request.body = "work";
        request.timeout = timeout;
        return client->run(request);
    }

    // Runs an attempt that must succeed with its own response.
    void check_own_response(const std::string& address) {
        const auto result = run(address);
        REQUIRE(result.has_value());
        CHECK(result->body == "a" + std::to_string(attempts));
    }
};

struct failure_case {
    std::string name;
    std::function<void(raw_connection&, const std::string& id)> respond;
    verdict outcome;
    refusal_reason reason;
    absl::Duration timeout = client_fixture::long_timeout;
};

const std::string response_head = "HTTP/1.1 200 OK\r\nMasticpass-Attempt-Id: ";

std::vector<failure_case> failure_cases() {
    const auto may_have_run = verdict::may_have_run;
    const auto sends_and_closes = [](const std::string& after_id) {
        return [after_id](raw_connection& link, const std::string& id) {
            link.send(response_head + id + after_id);
            link.close();
        };
    };
    const auto sends = [](const std::string& id, const std::string& status, const std::string& headers) {
        return [=](raw_connection& link, const std::string& own) {
            link.send(response_to(id.empty() ? own : id, status, headers));
        };
    };
    return {
        {"truncated body", sends_and_closes("\r\nContent-Length: 10\r\n\r\nabc"), may_have_run,
         refusal_reason::connection_lost},
        {"truncated chunks", sends_and_closes("\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
         may_have_run, refusal_reason::connection_lost},
        {"no length", sends_and_closes("\r\n\r\nabc"), may_have_run, refusal_reason::answer_truncated},
        {"too large",
         [](raw_connection& link, const std::string& id) {
             link.send(response_head + id + "\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'));
         },
         may_have_run, refusal_reason::answer_truncated},
        {"no response", [](raw_connection& link, const std::string&) { link.close(); }, may_have_run,
         refusal_reason::connection_lost},
        {"not HTTP", [](raw_connection& link, const std::string&) { link.send("no\r\n\r\n"); }, may_have_run,
         refusal_reason::connection_lost},
        {"silence", [](raw_connection&, const std::string&) {}, may_have_run, refusal_reason::answer_timeout,
         client_fixture::short_timeout},
        {"wrong attempt id", sends("other", "200 OK", ""), may_have_run, refusal_reason::answer_mismatched},
        {"no attempt id",
         [](raw_connection& link, const std::string&) {
             link.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
         },
         may_have_run, refusal_reason::answer_mismatched},
        {"not run", sends("", "503 Service Unavailable", "Masticpass-Not-Run: yes\r\n"), verdict::not_run,
         refusal_reason::server_refused},
        {"not run, of another attempt",
         sends("other", "503 Service Unavailable", "Masticpass-Not-Run: yes\r\n"), may_have_run,
         refusal_reason::answer_mismatched},
        {"not run, with another status", sends("other", "500 Error", "Masticpass-Not-Run: yes\r\n"),
         may_have_run, refusal_reason::answer_mismatched},
    };
}

}  // namespace

// Guards against a wrong verdict for an attempt without a complete response, and against reusing its
// connection for another request.
TEST_CASE("an attempt without a complete response has the right verdict and its connection is not reused") {
    for (const failure_case& failing : failure_cases()) {
        CAPTURE(failing.name);
        fakes::raw_server server([&](raw_connection& link, const std::string& request) {
            if (link.number() > 1) {
                send_own_response(link, request);
                return;
            }
            failing.respond(link, fakes::header_of(request, "Masticpass-Attempt-Id"));
        });
        client_fixture client;
        const auto result = client.run(server.address(), failing.timeout);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().cause.outcome == failing.outcome);
        CHECK(result.error().cause.reason == failing.reason);
        CHECK(client.quota.open() == 0);
        client.check_own_response(server.address());
        CHECK(server.accepted_connections() == 2);
    }
}

// Guards against a response that is taken for the response to the next request.
TEST_CASE("a duplicate or late response is never returned for another request") {
    for (const bool is_late : {false, true}) {
        CAPTURE(is_late);
        absl::Notification sends_second;
        fakes::raw_server server([&](raw_connection& link, const std::string& request) {
            send_own_response(link, request);
            if (link.number() == 1) {
                if (is_late) {
                    sends_second.WaitForNotification();
                }
                // More than the client reads at once, so that a part stays unread in the socket.
                for (int copy = 0; copy < 200; ++copy) {
                    send_own_response(link, request);
                }
            }
        });
        client_fixture client;
        client.check_own_response(server.address());
        sends_second.Notify();
        // The duplicate may arrive after the request was sent; the attempt then ends as "may have run".
        const auto second = client.run(server.address(), client_fixture::short_timeout);
        if (second) {
            CHECK(second->body == "a2");
        } else {
            CHECK(second.error().cause.outcome == verdict::may_have_run);
        }
        client.check_own_response(server.address());
    }
}

// Guards against a response that arrives after its attempt has timed out and reaches the next attempt.
TEST_CASE("the response to an attempt that timed out is discarded with its connection") {
    absl::Notification released;
    fakes::raw_server server([&](raw_connection& link, const std::string& request) {
        if (link.number() == 1) {
            released.WaitForNotification();
        }
        send_own_response(link, request);
    });
    client_fixture client;
    CHECK(client.run(server.address(), client_fixture::short_timeout).error().cause.reason ==
          refusal_reason::answer_timeout);
    released.Notify();
    client.check_own_response(server.address());
    CHECK(server.accepted_connections() == 2);
}

// Guards against opening a connection for each request, and against losing a request on a connection that the
// server has closed, that was idle for too long, or that has become silent.
TEST_CASE_FIXTURE(client_fixture, "a working connection is reused, but not a closed, stale or silent one") {
    std::atomic<int> silent_connection = 0;
    std::atomic<bool> closes = false;
    fakes::raw_server server([&](raw_connection& link, const std::string& request) {
        if (link.number() == silent_connection) {
            return;
        }
        // Read before the response is sent: the test changes it as soon as it has the response.
        const bool closes_after = closes;
        send_own_response(link, request);
        if (closes_after) {
            link.close();
        }
    });
    check_own_response(server.address());
    check_own_response(server.address());
    CHECK(server.accepted_connections() == 1);

    closes = true;
    check_own_response(server.address());
    REQUIRE(fakes::wait_until([&] { return server.closed_connections() == 1; }));
    closes = false;
    check_own_response(server.address());
    CHECK(server.accepted_connections() == 2);

    time.advance(absl::Seconds(6));
    check_own_response(server.address());
    CHECK(server.accepted_connections() == 3);

    silent_connection = 3;
    time.advance(absl::Seconds(1));
    check_own_response(server.address());
    CHECK(server.accepted_connections() == 4);
    CHECK(quota.open() == 1);
    time.advance(absl::Seconds(6));
    client->close_stale();
    CHECK(quota.open() == 0);
}

// Guards against "may have run" for a request that was never sent, and against connections beyond the quota.
TEST_CASE_FIXTURE(client_fixture, "a request for which no connection can be opened has not run") {
    std::string closed_address;
    {
        const fakes::raw_server server(send_own_response);
        closed_address = server.address();
    }
    for (const std::string& address : {closed_address, std::string("nowhere")}) {
        const auto result = run(address);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().cause.outcome == verdict::not_run);
        CHECK(result.error().cause.reason == refusal_reason::connect_failed);
    }
    CHECK(quota.open() == 0);

    absl::Notification released;
    fakes::raw_server server([&](raw_connection& link, const std::string& request) {
        released.WaitForNotification();
        send_own_response(link, request);
    });
    const std::string address = server.address();
    {
        std::vector<std::jthread> senders;
        senders.reserve(2);
        for (int sender = 0; sender < 2; ++sender) {
            senders.emplace_back([&, id = "b" + std::to_string(sender)] {
                backend_request request;
                request.address = address;
                request.attempt = attempt_id(id);
                request.timeout = long_timeout;
                static_cast<void>(client->run(request));
            });
        }
        CHECK(fakes::wait_until([&] { return quota.open() == 2; }));
        const auto refused = run(address);
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().cause.outcome == verdict::not_run);
        CHECK(refused.error().cause.reason == refusal_reason::no_server);
        CHECK(client->probe(address, short_timeout) == probe_result::not_probed);
        released.Notify();
    }
    CHECK(quota.open() == 2);
    client.reset();
    CHECK(quota.open() == 0);
}

// Guards against sending work to a server that is leaving.
TEST_CASE_FIXTURE(client_fixture, "responses and probes report whether the server is leaving") {
    const std::string leaving = "Masticpass-Leaving: yes\r\n";
    std::atomic<bool> refuses = false;
    fakes::raw_server server([&](raw_connection& link, const std::string& request) {
        const std::string id = fakes::header_of(request, "Masticpass-Attempt-Id");
        link.send(refuses ? response_to(id, "503 Busy", leaving + "Masticpass-Not-Run: yes\r\n")
                          : response_to(id, "200 OK", leaving));
    });
    const auto result = run(server.address());
    REQUIRE(result.has_value());
    CHECK(result->leaving);
    CHECK(client->probe(server.address(), long_timeout) == probe_result::leaving);
    refuses = true;
    CHECK(run(server.address()).error().leaving);
    const fakes::raw_server silent([](raw_connection&, const std::string&) {});
    CHECK(client->probe(silent.address(), short_timeout) == probe_result::unhealthy);
    CHECK(quota.open() == 0);
}

// Guards against ending an attempt or releasing a slot although the server has not stated the state of the
// attempt.
TEST_CASE_FIXTURE(client_fixture,
                  "the state of an attempt is taken only from a response header of the server") {
    std::string stated;
    std::string queried_attempt;
    fakes::raw_server server([&](raw_connection& link, const std::string& request) {
        queried_attempt = fakes::header_of(request, "Masticpass-Attempt-Id");
        link.send("HTTP/1.1 200 OK\r\n" + stated + "Content-Length: 2\r\n\r\nok");
    });
    const std::string header = "Masticpass-Attempt-State: ";
    const attempt_id attempt("a7");
    CHECK(client->query_attempt(server.address(), attempt, long_timeout) == attempt_state::not_stated);
    CHECK(queried_attempt == "a7");
    stated = header + "running\r\n";
    CHECK(client->query_attempt(server.address(), attempt, long_timeout) == attempt_state::running);
    stated = header + "unknown\r\n";
    CHECK(client->query_attempt(server.address(), attempt, long_timeout) == attempt_state::unknown);
    stated = header + "paused\r\n";
    CHECK(client->query_attempt(server.address(), attempt, long_timeout) == attempt_state::not_stated);
    CHECK(server.accepted_connections() == 4);
    CHECK(quota.open() == 0);

    const fakes::raw_server silent([](raw_connection&, const std::string&) {});
    CHECK(client->query_attempt(silent.address(), attempt, short_timeout) == attempt_state::not_answered);
    REQUIRE(quota.acquire_connection(""));
    REQUIRE(quota.acquire_connection(""));
    CHECK(client->query_attempt(server.address(), attempt, long_timeout) == attempt_state::not_answered);
    CHECK(server.accepted_connections() == 4);
}

// Guards against an attempt on a silent connection that cannot be ended before its deadline, and against
// reusing its connection for another request.
TEST_CASE_FIXTURE(client_fixture,
                  "an attempt that another thread ends fails with the reason given for its end") {
    struct ended_case {
        attempt_end end;
        refusal_reason reason;
    };
    for (const ended_case& ending :
         {ended_case{attempt_end::connection_silent, refusal_reason::connection_silent},
          ended_case{attempt_end::timeout, refusal_reason::answer_timeout}}) {
        std::atomic<bool> is_received = false;
        std::atomic<bool> is_silent = true;
        fakes::raw_server server([&](raw_connection& link, const std::string& request) {
            is_received = true;
            if (!is_silent) {
                send_own_response(link, request);
            }
        });
        const attempt_id own("a" + std::to_string(attempts + 1));
        auto result = std::async(std::launch::async, [&] { return run(server.address()); });
        REQUIRE(fakes::wait_until([&] { return is_received.load(); }));
        CHECK_FALSE(client->end_attempt(attempt_id("other"), ending.end));
        CHECK(client->end_attempt(own, ending.end));
        const auto ended = result.get();
        REQUIRE_FALSE(ended.has_value());
        CHECK(ended.error().cause.outcome == verdict::may_have_run);
        CHECK(ended.error().cause.reason == ending.reason);
        CHECK_FALSE(client->end_attempt(own, ending.end));
        CHECK(quota.open() == 0);
        is_silent = false;
        check_own_response(server.address());
        CHECK(server.accepted_connections() == 2);
        // Closes the idle connection, so that the quota has room for the next case.
        time.advance(absl::Seconds(6));
        client->close_stale();
    }
}

}  // namespace masticpass
