#ifndef MASTICPASS_TESTS_JOBS_OWNER_FAKES_H
#define MASTICPASS_TESTS_JOBS_OWNER_FAKES_H

#include <atomic>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fakes/fake_configuration_store.h"
#include "jobs/shard_owner.h"

// Fakes at the interfaces of a shard owner. Each of the first three throws an exception while a test asks for
// it.
namespace masticpass {

class fake_directory final : public worker_directory {
public:
    tl::expected<std::vector<worker_entry>, std::string> list() override {
        ++calls;
        if (must_throw) {
            throw std::runtime_error("injected in the directory");
        }
        return std::vector<worker_entry>{{.id = worker_id("w"),
                                          .pool = pool_name("p"),
                                          .address = "127.0.0.1:1",
                                          .capacity = {.cpu_millis = 4000, .memory_mb = 4000},
                                          .started_ms = 1}};
    }

    std::atomic<bool> must_throw = false;
    std::atomic<int> calls = 0;
};

// Its workers do not respond to orders.
class fake_channel_factory final : public worker_channel_factory {
public:
    std::unique_ptr<worker_channel> open(const worker_id&, const std::string&,
                                         boost::asio::io_context& loop) override {
        class channel final : public worker_channel {
        public:
            channel(const fake_channel_factory& factory, boost::asio::io_context& loop)
                : factory_(factory), timer_(loop) {}
            void poll(const poll_request&, poll_callback done) override {
                if (factory_.must_throw) {
                    throw std::runtime_error("injected in the event loop");
                }
                timer_.expires_after(std::chrono::milliseconds(10));
                timer_.async_wait([this, done = std::move(done)](const boost::system::error_code& error) {
                    if (error) {
                        return;
                    }
                    if (factory_.are_workers_reachable) {
                        done(poll_response{.clock_ms = 1, .report = {.started_ms = 1}});
                    } else {
                        done(tl::unexpected(worker_error::unreachable));
                    }
                });
            }
            void start(const worker_order&, std::int64_t, fencing_token_value, start_callback) override {}
            void stop(const worker_order&, fencing_token_value, order_callback) override {}
            void throttle(const worker_order&, fencing_token_value, order_callback) override {}

        private:
            const fake_channel_factory& factory_;
            boost::asio::steady_timer timer_;
        };
        return std::make_unique<channel>(*this, loop);
    }

    std::atomic<bool> must_throw = false;
    // While set, the workers report that nothing runs on them.
    std::atomic<bool> are_workers_reachable = false;
};

class fake_vm_service final : public vm_service {
public:
    tl::expected<fleet_vm_list, std::string> list() override {
        if (must_throw) {
            throw std::runtime_error("injected in the VM service");
        }
        if (is_unavailable) {
            return tl::unexpected(std::string("unavailable"));
        }
        return fleet_vm_list{.vms = vms};
    }
    vm_order_outcome move(const vm_id&, const pool_name&, const vm_order_issuer&) override {
        return vm_order_outcome::done;
    }
    vm_order_outcome maintain(const vm_id& vm, const wave_name&, const vm_order_issuer&) override {
        maintained.push_back(vm);
        return vm_order_outcome::done;
    }

    std::atomic<bool> must_throw = false;
    std::atomic<bool> is_unavailable = false;
    // Set before another thread calls the service.
    std::vector<fleet_vm> vms = {};
    // Used only in tests in which no other thread calls the service.
    std::vector<vm_id> maintained = {};
};

class fake_wave_store final : public wave_store {
public:
    tl::expected<std::vector<wave_request>, std::string> list() override { return requests; }
    store_write status_write(const wave_name& wave, bool is_completed) override {
        return {.key = status_key(wave), .value = is_completed ? "completed" : "running"};
    }
    static std::string status_key(const wave_name& wave) { return "status/" + wave.value(); }

    // Used only in tests in which no other thread calls the store.
    std::vector<wave_request> requests = {};
};

class fixed_rules final : public job_rules_source {
public:
    std::shared_ptr<const job_rules> rules() const override { return rules_; }

private:
    const std::shared_ptr<const job_rules> rules_ = std::make_shared<job_rules>(job_rules{
        .queues = {{.name = queue_name("q"), .pool = pool_name("p")}}, .pools = {{.name = pool_name("p")}}});
};

// All that a shard owner borrows.
struct owner_environment {
    shard_owner_dependencies dependencies() {
        return {store, channels, directory, vms, waves, rules, time, metrics};
    }

    fakes::fake_configuration_store store;
    fake_directory directory;
    fake_channel_factory channels;
    fake_vm_service vms;
    fake_wave_store waves;
    const fixed_rules rules{};
    const boot_clock time{};
    metrics_registry metrics;
};

}  // namespace masticpass

#endif
