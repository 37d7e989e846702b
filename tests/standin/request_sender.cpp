#include "standin/request_sender.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <json/json.h>

namespace masticpass::standin {

namespace {

constexpr int maximum_sends_per_request = 5;
constexpr int identities_per_call = 50;
constexpr int status_ok = 200;
constexpr absl::Duration resend_delay = absl::Milliseconds(100);

}  // namespace

void sending_result::add(const sending_result& other) {
    sent += other.sent;
    complete += other.complete;
    incomplete += other.incomplete;
    cut += other.cut;
    resent += other.resent;
    for (const auto& [reason, count] : other.refusals) {
        refusals[reason] += count;
    }
    latency_ms.insert(latency_ms.end(), other.latency_ms.begin(), other.latency_ms.end());
}

request_sender::request_sender(const balancer& entry_balancer, const sending_plan& plan, std::uint64_t seed)
    : balancer_(entry_balancer), plan_(plan), generator_(seed), seed_(seed) {}

httplib::Client& request_sender::client_for(const std::string& address) {
    auto& client = clients_[address];
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + address);
        client->set_tcp_nodelay(true);
        client->set_keep_alive(true);
        client->set_connection_timeout(1);
        client->set_read_timeout(plan_.timeout_ms / 1000 + 2);
    }
    return *client;
}

std::string request_sender::take_identity() {
    for (int attempt = 0; identities_.empty() && attempt < maximum_sends_per_request; ++attempt) {
        const std::string address = balancer_.choose(generator_);
        if (address.empty()) {
            continue;
        }
        const auto answer = client_for(address).Post(
            absl::StrCat("/v1/identities?count=", identities_per_call), "", "text/plain");
        Json::Value body;
        if (answer && answer->status == status_ok && Json::Reader().parse(answer->body, body)) {
            for (const Json::Value& id : body["identities"]) {
                identities_.push_back(id.asString());
            }
        }
    }
    if (identities_.empty()) {
        return {};
    }
    std::string id = identities_.back();
    identities_.pop_back();
    return id;
}

httplib::Result request_sender::send(const std::string& service, const httplib::Headers& headers,
                                     const std::string& body) {
    httplib::Result answer(nullptr, httplib::Error::Connection);
    for (int attempt = 0; attempt < maximum_sends_per_request; ++attempt) {
        const std::string address = balancer_.choose(generator_);
        if (!address.empty()) {
            answer = client_for(address).Post("/v1/services/" + service + "/requests", headers, body,
                                              "application/json");
        }
        if (answer) {
            return answer;
        }
        clients_.erase(address);
        ++result_.resent;
        absl::SleepFor(resend_delay);
    }
    return answer;
}

void request_sender::send_request() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    std::uniform_int_distribution<std::size_t> pick(0, plan_.services.size() - 1);
    std::uniform_int_distribution<int> size(1, 4096);
    const bool is_long = share(generator_) < plan_.long_share;
    const bool once = share(generator_) < plan_.once_share;
    const std::string identity = once ? take_identity() : std::string();
    const int bytes = size(generator_);
    Json::Value body;
    body["job"] = identity.empty() ? absl::StrCat("repeatable-", seed_, "-", next_job_++) : identity;
    body["run_ms"] = is_long ? plan_.long_ms : plan_.short_ms;
    body["response_bytes"] = bytes;
    httplib::Headers headers = {{"Masticpass-Timeout-Ms", absl::StrCat(plan_.timeout_ms)},
                                {"Masticpass-Kind", is_long ? "long" : "short"},
                                {"Masticpass-Repeatable", once ? "no" : "yes"}};
    if (once) {
        headers.emplace("Masticpass-Request-Id", identity);
    }
    const std::string& service = plan_.services[pick(generator_)];
    const absl::Time start = absl::Now();
    const httplib::Result answer =
        send(service, headers, Json::writeString(Json::StreamWriterBuilder(), body));
    record(answer, static_cast<std::size_t>(bytes), absl::ToDoubleMilliseconds(absl::Now() - start));
}

void request_sender::record(const httplib::Result& answer, std::size_t expected_bytes, double elapsed_ms) {
    ++result_.sent;
    if (!answer) {
        ++result_.cut;
        return;
    }
    if (answer->status == status_ok) {
        const bool complete = answer->body == std::string(expected_bytes, 'r');
        ++(complete ? result_.complete : result_.incomplete);
        result_.latency_ms.push_back(elapsed_ms);
        return;
    }
    ++result_.refusals[absl::StrCat(answer->get_header_value("Masticpass-Verdict"), " ",
                                    answer->get_header_value("Masticpass-Reason"))];
}

}  // namespace masticpass::standin
