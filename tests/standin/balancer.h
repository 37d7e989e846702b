#ifndef MASTICPASS_STANDIN_BALANCER_H
#define MASTICPASS_STANDIN_BALANCER_H

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace masticpass::standin {

// Addresses of an entry VM, each as IP:port.
struct entry_addresses {
    std::string caller_address;
    std::string status_address;
};

// Stand-in for the load balancer of the platform. Chooses among the entry VMs whose health check responds
// with 200, and checks each of them several times a second.
// Thread safety: `choose` may be called from any thread with its own generator.
class balancer {
public:
    explicit balancer(std::vector<entry_addresses> entries);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    // Returns the caller address of a random healthy entry VM; empty if none is healthy.
    std::string choose(std::mt19937_64& generator) const;

    // Blocks until at least `count` entry VMs are healthy. Returns false if that takes longer than `seconds`.
    bool wait_until_healthy(std::size_t count, int seconds) const;

private:
    struct entry_state {
        entry_addresses addresses;
        std::atomic<bool> healthy = false;
    };

    void check_all();
    std::size_t healthy_count() const;

    std::vector<std::unique_ptr<entry_state>> entries_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

}  // namespace masticpass::standin

#endif
