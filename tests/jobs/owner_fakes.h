#ifndef MASTICPASS_TESTS_JOBS_OWNER_FAKES_H
#define MASTICPASS_TESTS_JOBS_OWNER_FAKES_H

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

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
        return std::vector<worker_entry>{{.id = worker_id("w"), .address = "127.0.0.1:1"}};
    }

    std::atomic<bool> must_throw = false;
    std::atomic<int> calls = 0;
};

class fake_channel_factory final : public worker_channel_factory {
public:
    std::unique_ptr<worker_channel> open(const worker_id&, const std::string&,
                                         boost::asio::io_context&) override {
        class channel final : public worker_channel {
        public:
            explicit channel(const fake_channel_factory& factory) : factory_(factory) {}
            void poll(const poll_request&, poll_callback done) override {
                if (factory_.must_throw) {
                    throw std::runtime_error("injected in the event loop");
                }
                done(tl::unexpected(worker_error::unreachable));
            }
            void start(const worker_order&, std::int64_t, fencing_token_value, start_callback) override {}
            void stop(const worker_order&, fencing_token_value, order_callback) override {}
            void throttle(const worker_order&, fencing_token_value, order_callback) override {}

        private:
            const fake_channel_factory& factory_;
        };
        return std::make_unique<channel>(*this);
    }

    std::atomic<bool> must_throw = false;
};

class fake_vm_service final : public vm_service {
public:
    tl::expected<std::vector<fleet_vm>, std::string> list() override {
        if (must_throw) {
            throw std::runtime_error("injected in the VM service");
        }
        return std::vector<fleet_vm>{};
    }
    vm_order_outcome move(const vm_id&, const pool_name&, const vm_order_issuer&) override {
        return vm_order_outcome::done;
    }
    vm_order_outcome maintain(const vm_id&, const wave_name&, const vm_order_issuer&) override {
        return vm_order_outcome::done;
    }

    std::atomic<bool> must_throw = false;
};

class no_waves final : public wave_store {
public:
    tl::expected<std::vector<wave_request>, std::string> list() override {
        return std::vector<wave_request>{};
    }
    store_write status_write(const wave_name&, bool) override { return {}; }
};

class fixed_rules final : public job_rules_source {
public:
    std::shared_ptr<const job_rules> rules() const override { return rules_; }

private:
    const std::shared_ptr<const job_rules> rules_ = std::make_shared<job_rules>();
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
    no_waves waves;
    const fixed_rules rules{};
    const boot_clock time{};
    metrics_registry metrics;
};

}  // namespace masticpass

#endif
