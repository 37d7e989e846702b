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

// The response to a request of a caller. `status` is 0 if the connection ended without a response.
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

// Runs stand-ins for the platform and the backend servers, and the entry VMs of zone-a and zone-b, as
// processes on loopback. All VMs are in the pool "proofs", which serves the service "proofs" and has a budget
// of one unavailable VM. If an exception, such as that of a failed REQUIRE, ends the test, the destructor
// prints the ends of the logs. Thread safety: `list_vms` may be called from any thread.
class test_fleet {
public:
    // Starts the platform and the backend servers.
    explicit test_fleet(const fleet_options& options = {});
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    // Names of the entry VMs: entry-a1, entry-a2, entry-b1, ...
    const std::vector<std::string>& entries() const { return entries_; }
    // Names of the VMs with backend servers: vm-a1, vm-a2, vm-b1, ...
    const std::vector<std::string>& vms() const { return vms_; }
    enum class listener { caller, peer, operations, status };
    std::string address(const std::string& entry, listener kind) const;

    // Starts an entry VM and waits until it responds to operators.
    void start_entry(const std::string& entry);
    // Declares the pool and the service, and waits until the entry VMs can use all slots of the zones in
    // which one of them runs.
    void declare();
    // Starts all entry VMs, then calls `declare`.
    void start_serving();
    // Returns the process of an entry VM, of the backend server on a VM, or of "platform".
    child_process& process(const std::string& name) { return *processes_.at(name); }
    const std::string& platform_address() const { return platform_address_; }
    // Returns the entry VM that acts for the pool while all entry VMs are alive.
    std::string acting_entry(const std::string& pool = "proofs") const;
    // Returns an entry VM other than `entry`.
    std::string other_than(const std::string& entry) const;

    // Returns a client of the operations interface of an entry VM.
    operations_client operations(const std::string& entry) const;
    // Adds the sections of a YAML text to the configuration in force.
    void declare_sections(const std::string& entry, const std::string& sections) const;
    void declare_wave(const std::string& entry, const std::string& wave) const;
    // Returns the status of a wave; empty if the entry VM does not respond.
    std::string wave_status(const std::string& entry, const std::string& wave) const;
    // Returns the sum of the metrics whose lines start with `name` over all running entry VMs.
    double metric(const std::string& name) const;

    // Sends a request to the backend server on a VM, or to the platform if `vm` is empty: a GET if `body` is
    // null, otherwise a POST. Returns the JSON response; null if there is none.
    Json::Value control(const std::string& vm, const std::string& path, const Json::Value& body) const;
    Json::Value counters(const std::string& vm = {}) const;
    Json::Value list_vms() const;
    // Returns how many times each job was started on all servers together.
    std::map<std::string, int> run_counts() const;
    // Requires that no job with an identity ran more than once, on one server or on several, and that no
    // server ran more jobs at the same time than it has slots.
    void require_backend_invariants() const;

    // Returns identities that `entry` issued.
    std::vector<std::string> take_identities(const std::string& entry, int count) const;
    // Sends a request to `entry` and waits for the response.
    caller_answer send(const std::string& entry, const httplib::Headers& headers,
                       const std::string& body) const;
    // Starts a caller stand-in that sends requests to all entry VMs.
    std::unique_ptr<child_process> start_caller(const std::vector<std::string>& options) const;
    // Waits until a caller stand-in ends and returns the counters that it printed.
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

// Returns a JSON object with one member.
Json::Value json_object(const std::string& name, const Json::Value& value);

}  // namespace masticpass::process_test

#endif
