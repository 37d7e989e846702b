#include "decision/serving/server_health.h"

#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

namespace masticpass {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const job_kind proof("proof");
const job_kind plan("plan");

std::vector<vm_id> make_servers(int count) {
    std::vector<vm_id> servers;
    servers.reserve(static_cast<std::size_t>(count));
    for (int server = 0; server < count; ++server) {
        servers.emplace_back(absl::StrCat("vm-", server));
    }
    return servers;
}

void record_attempts(server_health& health, const vm_id& server, const job_kind& kind, bool succeeded,
                     int times) {
    for (int attempt = 0; attempt < times; ++attempt) {
        health.attempt_ended(server, kind, succeeded, start);
    }
}

}  // namespace

// Guards against a failing server that keeps receiving work because its slots are always free.
TEST_CASE("a server that fails job kinds that succeed elsewhere is ejected until a probe succeeds") {
    server_health health;
    const auto servers = make_servers(3);
    health.update_servers(servers);
    record_attempts(health, servers[0], proof, true, 100);
    record_attempts(health, servers[1], proof, true, 100);
    record_attempts(health, servers[0], proof, false, 10);
    CHECK(health.is_ejected(servers[0]));
    CHECK_FALSE(health.accepts_work(servers[0]));
    CHECK_FALSE(health.next_probe(start + absl::Seconds(1)).has_value());
    CHECK(health.next_probe(start + absl::Seconds(3)) == servers[0]);
    CHECK_FALSE(health.next_probe(start + absl::Seconds(3)).has_value());
    health.probe_ended(servers[0], false, start + absl::Seconds(4));
    CHECK(health.next_probe(start + absl::Seconds(7)) == servers[0]);
    health.probe_ended(servers[0], true, start + absl::Seconds(8));
    CHECK(health.accepts_work(servers[0]));
}

// Guards against the ejection of healthy servers because of a job kind that fails on all servers.
TEST_CASE("a job kind that fails on three servers is considered faulty") {
    server_health health;
    const auto servers = make_servers(9);
    health.update_servers(servers);
    for (int server = 0; server < 3; ++server) {
        record_attempts(health, servers[static_cast<std::size_t>(server)], plan, false, 10);
        record_attempts(health, servers[static_cast<std::size_t>(server)], proof, true, 1);
    }
    CHECK(health.is_kind_faulty(plan, start));
    CHECK_FALSE(health.is_kind_faulty(proof, start));
    CHECK(health.ejected() == 0);
    CHECK_FALSE(health.is_kind_faulty(plan, start + absl::Minutes(10)));
}

// Guards against the loss of most of the servers through ejection.
TEST_CASE("at most a third of the servers are ejected") {
    server_health health;
    auto servers = make_servers(9);
    health.update_servers(servers);
    for (const vm_id& server : servers) {
        record_attempts(health, server, proof, true, 10);
    }
    for (std::size_t server = 0; server < 4; ++server) {
        record_attempts(health, servers[server], proof, false, 50);
    }
    CHECK(health.ejected() == 3);
    servers.resize(5);
    health.update_servers(servers);
    CHECK(health.ejected() == 1);
    health.update_servers(make_servers(2));
    CHECK(health.ejected() == 0);
}

// Guards against new work on a leaving server because a source with outdated data reports its old boot
// identity.
TEST_CASE("only a newer boot identity ends the leaving state") {
    server_health health;
    const auto servers = make_servers(3);
    health.update_servers(servers);
    leaving_servers& leaving = health.leaving();
    leaving.observe_boot(servers[0], boot_id("b1"));
    leaving.mark_leaving(servers[0], boot_id());
    leaving.observe_boot(servers[0], boot_id("b1"));
    CHECK_FALSE(health.accepts_work(servers[0]));
    leaving.observe_boot(servers[0], boot_id("b2"));
    CHECK(health.accepts_work(servers[0]));
    leaving.mark_leaving(servers[0], boot_id("b1"));
    CHECK(health.accepts_work(servers[0]));
    leaving.mark_leaving(servers[0], boot_id("b2"));
    leaving.observe_boot(servers[0], boot_id("b1"));
    CHECK_FALSE(health.accepts_work(servers[0]));
    leaving.mark_leaving(servers[1], boot_id());
    leaving.observe_boot(servers[1], boot_id("c1"));
    CHECK_FALSE(health.accepts_work(servers[1]));
}

}  // namespace masticpass
