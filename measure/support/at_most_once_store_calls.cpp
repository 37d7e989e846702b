#include "support/at_most_once_store_calls.h"

#include <stdexcept>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "store/etcd_messages.h"
#include "support/request_pacer.h"
#include "support/table.h"

namespace masticpass::measure {

namespace {

constexpr int backend_port_offset = 200;
constexpr int backend_count = 4;
constexpr std::size_t identities_per_call = 1000;

std::vector<std::string> request_identities(const std::string& address, std::size_t count) {
    httplib::Client client("http://" + address);
    std::vector<std::string> result;
    while (result.size() < count) {
        const auto response = client.Post(absl::StrCat("/v1/identities?count=", identities_per_call));
        const auto parsed = etcd::parse_object(response ? response->body : "");
        if (!parsed || !etcd::nested_member(*parsed, "identities").isArray()) {
            throw std::runtime_error("the entry VM issued no identities");
        }
        for (const Json::Value& identity : (*parsed)["identities"]) {
            result.push_back(identity.asString());
        }
    }
    return result;
}

double call_count(const Json::Value& counters, const std::string& kind) {
    return counters.isMember(kind) ? counters[kind]["calls"].asDouble() : 0.0;
}

}  // namespace

void measure_at_most_once_store_calls(const fleet_programs& programs, const at_most_once_options& options) {
    fleet_options setup;
    setup.fleet.vms = backend_count;
    setup.fleet.pools = 1;
    setup.fleet.zones = 1;
    setup.fleet.first_backend_port = programs.base_port + backend_port_offset;
    setup.backends = backend_count;
    const process_fleet processes(programs, setup);

    paced_requests plan;
    plan.address = processes.caller_address(0);
    plan.path = "/v1/services/service-0/requests";
    plan.headers = {{"Masticpass-Timeout-Ms", "2000"}, {"Masticpass-Repeatable", "no"}};
    plan.rate = options.rate;
    plan.connections = 32;
    plan.duration = absl::Seconds(options.seconds);
    plan.seed = options.seed;
    plan.identities =
        request_identities(plan.address, static_cast<std::size_t>(options.rate * options.seconds));
    const Json::Value before = processes.platform_counters();
    const paced_result sent = send_paced(plan);
    const Json::Value after = processes.platform_counters();

    const auto requests = static_cast<double>(sent.latency_ms.size());
    table rows({"call", "calls", "calls/s", "calls/request", "one write per request: calls/s"});
    for (const char* kind : {"read", "write", "watch", "lease_grant", "lease_renew"}) {
        const double calls = call_count(after, kind) - call_count(before, kind);
        const bool is_write = std::string(kind) == "write";
        rows.add({kind, absl::StrFormat("%.0f", calls), absl::StrFormat("%.2f", calls / options.seconds),
                  absl::StrFormat("%.5f", calls / requests),
                  is_write ? absl::StrFormat("%.0f", requests / options.seconds) : "-"});
    }
    rows.print(absl::StrFormat(
        "store calls during %.0f requests with identities (%d failed) at %.0f/s; p50 %.2f ms, p99 %.2f ms",
        requests, sent.failed, options.rate, percentile(sent.latency_ms, 0.5),
        percentile(sent.latency_ms, 0.99)));
}

}  // namespace masticpass::measure
