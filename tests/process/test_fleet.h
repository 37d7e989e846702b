#ifndef MASTICPASS_PROCESS_TEST_FLEET_H
#define MASTICPASS_PROCESS_TEST_FLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>
#include <json/json.h>

#include "operations/operations_client.h"
#include "process/child_process.h"

namespace masticpass::process_test {

// What a caller got for one request. `status` is 0 if the connection ended without a response.
struct caller_answer {
    int status = 0;
    std::string verdict;
    std::string reason;
    std::string body;
    absl::Duration elapsed = absl::ZeroDuration();
};

struct fleet_options {
    int vms_per_zone = 2;
    int entries_per_zone = 2;
};

// The platform, the backend servers and the entry VMs of zone-a and zone-b as processes on loopback. All VMs
// are in the pool "proofs" with a budget of one unavailable VM, which serves the service "proofs". Prints the
// logs if an exception, such as that of REQUIRE, ends the test. Thread safety: list_vms may be called from
// any thread.
class test_fleet {
public:
    // Starts the platform and the backend servers.
    explicit test_fleet(const fleet_options& options = {});
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    // entry-a1, entry-a2, entry-b1, ...
    const std::vector<std::string>& entries() const { return entries_; }
    // vm-a1, vm-a2, vm-b1, ...
    const std::vector<std::string>& vms() const { return vms_; }
    enum class listener { caller, peer, operations, status };
    std::string address(const std::string& entry, listener kind) const;

    // Starts an entry VM and waits until it answers operators.
    void start_entry(const std::string& entry);
    // Declares the pool and the service, and waits until the running entry VMs use all slots.
    void declare();
    // Starts all entry VMs and declares.
    void start_serving();
    // An entry VM, a backend server by the name of its VM, or "platform".
    child_process& process(const std::string& name) { return *processes_.at(name); }
    const std::string& platform_address() const { return platform_address_; }
    // The entry VM that acts for the pool while all are alive, and another one than `entry`.
    std::string acting_entry(const std::string& pool = "proofs") const;
    std::string other_than(const std::string& entry) const;

    operations_client operations(const std::string& entry) const;
    // Adds the sections of a YAML text to the configuration in force.
    void declare_sections(const std::string& entry, const std::string& sections) const;
    void declare_wave(const std::string& entry, const std::string& wave) const;
    // Empty if the entry VM does not answer.
    std::string wave_status(const std::string& entry, const std::string& wave) const;
    // Sum of the metrics whose lines start with `name` over all running entry VMs.
    double metric(const std::string& name) const;

    // Calls a control address of the platform (if `vm` is empty) or of the VM's backend server; null for no
    // answer.
    Json::Value control(const std::string& vm, const std::string& path, const Json::Value& body) const;
    Json::Value counters(const std::string& vm = {}) const;
    Json::Value list_vms() const;
    // How often each job has begun on all servers together.
    std::map<std::string, int> run_counts() const;
    // Requires that no job with an identity ran twice, on one server or on two, and that no server ran more
    // jobs than its slots.
    void require_backend_invariants() const;

    // Issued by `entry`.
    std::vector<std::string> take_identities(const std::string& entry, int count) const;
    caller_answer send(const std::string& entry, const httplib::Headers& headers,
                       const std::string& body) const;
    // A caller stand-in that sends to all entry VMs.
    std::unique_ptr<child_process> start_caller(const std::vector<std::string>& options) const;
    // The counters of a caller that ends by itself.
    static Json::Value wait_for_counters(child_process& caller);

private:
    void start(const std::string& name, const std::vector<std::string>& command);
    std::string settings_of(const std::string& entry) const;

    std::string folder_;
    std::vector<std::string> entries_;
    std::vector<std::string> vms_;
    std::map<std::string, std::vector<int>> ports_;
    std::map<std::string, std::string> backend_addresses_;
    std::string platform_address_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

// An object with one member.
Json::Value json_object(const std::string& name, const Json::Value& value);

}  // namespace masticpass::process_test

#endif
