#include "backend/connection_pool.h"

#include <doctest/doctest.h>

#include "fakes/raw_server.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

constexpr absl::Duration idle_timeout = absl::Seconds(5);
constexpr std::size_t maximum_idle_connections = 2;

struct fixture {
    const absl::Time start = absl::UnixEpoch();
    fakes::raw_server server{[](fakes::raw_connection& link, const std::string& request) {
        link.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        if (request.starts_with("GET /close")) {
            link.close();
        }
    }};
    connection_pool pool{idle_timeout, maximum_idle_connections};

    // Returns a connection whose last exchange succeeded.
    std::unique_ptr<connection> open(const std::string& path = "/health") const {
        auto link = connection::create(server.address(), connection_limits()).value();
        exchange_request request;
        request.method = "GET";
        request.path = path;
        request.timeout = absl::Seconds(20);
        REQUIRE(link->exchange(request).has_value());
        return link;
    }
    void put(absl::Time now) { pool.put_back(server.address(), open(), now); }
    bool takes(absl::Time now) { return pool.take(server.address(), now).link != nullptr; }
    bool have_closed(int count) const {
        return fakes::wait_until([&] { return server.closed_connections() == count; });
    }
};

}  // namespace

// Guards against returning a connection to another server, a wrong idle time or the least recently used
// connection.
TEST_CASE_FIXTURE(fixture, "the most recently used connection to the address is returned") {
    put(start);
    put(start + absl::Seconds(1));
    CHECK(pool.take("127.0.0.1:1", start).link == nullptr);
    const idle_connection taken = pool.take(server.address(), start + absl::Seconds(4));
    CHECK(taken.link != nullptr);
    CHECK(taken.idle_time == absl::Seconds(3));
    CHECK(takes(start + absl::Seconds(4)));
    CHECK_FALSE(takes(start + absl::Seconds(4)));
}

// Guards against a request on a connection that the server may be closing, and against leaving such a
// connection open.
TEST_CASE_FIXTURE(fixture, "a connection that was idle for too long is closed and not returned") {
    put(start);
    put(start + absl::Seconds(1));
    SUBCASE("by take") {
        CHECK_FALSE(takes(start + absl::Seconds(1) + idle_timeout + absl::Milliseconds(1)));
        CHECK(have_closed(2));
    }
    SUBCASE("by close_stale") {
        pool.close_stale(start + idle_timeout + absl::Milliseconds(1));
        CHECK(have_closed(1));
        CHECK(takes(start + idle_timeout));
        CHECK_FALSE(takes(start + idle_timeout));
    }
}

// Guards against a request on a connection that a leaving or restarted server has closed.
TEST_CASE_FIXTURE(fixture, "a connection that the server closed is not returned") {
    put(start);
    auto closed = open("/close");
    REQUIRE(fakes::wait_until([&] { return !closed->is_reusable(); }));
    pool.put_back(server.address(), std::move(closed), start + absl::Seconds(1));
    // The idle time shows which of the two connections this is.
    const idle_connection taken = pool.take(server.address(), start + absl::Seconds(2));
    CHECK(taken.link != nullptr);
    CHECK(taken.idle_time == absl::Seconds(2));
}

// Guards against idle connections that use up the quota of a server, and against keeping some of them after
// one was found silent.
TEST_CASE_FIXTURE(fixture, "idle connections are limited in number and can be discarded by address") {
    put(start);
    put(start);
    put(start);
    CHECK(have_closed(1));
    pool.discard("127.0.0.1:1");
    CHECK(takes(start));
    pool.discard(server.address());
    CHECK(have_closed(3));
    CHECK_FALSE(takes(start));
}

}  // namespace masticpass
