#include "standin/balancer.h"

#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <httplib.h>

namespace masticpass::standin {

namespace {

constexpr int check_timeout_microseconds = 300'000;
constexpr int status_ok = 200;
constexpr absl::Duration check_interval = absl::Milliseconds(100);

bool is_healthy(const std::string& address) {
    httplib::Client client("http://" + address);
    client.set_connection_timeout(0, check_timeout_microseconds);
    client.set_read_timeout(0, check_timeout_microseconds);
    client.set_tcp_nodelay(true);
    const auto answer = client.Get("/health");
    return answer && answer->status == status_ok;
}

}  // namespace

balancer::balancer(std::vector<entry_addresses> entries) {
    for (entry_addresses& entry : entries) {
        entries_.push_back(std::make_unique<entry_state>());
        entries_.back()->addresses = std::move(entry);
    }
    check_all();
    thread_ = std::thread([this] {
        while (!stopping_) {
            absl::SleepFor(check_interval);
            check_all();
        }
    });
}

balancer::~balancer() {
    stopping_ = true;
    thread_.join();
}

void balancer::check_all() {
    for (const auto& entry : entries_) {
        entry->healthy = is_healthy(entry->addresses.status_address);
    }
}

std::size_t balancer::healthy_count() const {
    std::size_t count = 0;
    for (const auto& entry : entries_) {
        count += entry->healthy ? 1 : 0;
    }
    return count;
}

std::string balancer::choose(std::mt19937_64& generator) const {
    std::vector<const entry_state*> healthy;
    for (const auto& entry : entries_) {
        if (entry->healthy) {
            healthy.push_back(entry.get());
        }
    }
    if (healthy.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> pick(0, healthy.size() - 1);
    return healthy[pick(generator)]->addresses.caller_address;
}

bool balancer::wait_until_healthy(std::size_t count, int seconds) const {
    const absl::Time deadline = absl::Now() + absl::Seconds(seconds);
    while (healthy_count() < count) {
        if (absl::Now() > deadline) {
            return false;
        }
        absl::SleepFor(check_interval);
    }
    return true;
}

}  // namespace masticpass::standin
