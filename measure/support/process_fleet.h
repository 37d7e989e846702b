#ifndef MASTICPASS_MEASURE_PROCESS_FLEET_H
#define MASTICPASS_MEASURE_PROCESS_FLEET_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <json/json.h>

#include "decision/configuration/configuration_change.h"
#include "operations/operations_client.h"
#include "process/child_process.h"
#include "support/process_usage.h"
#include "support/synthetic_fleet.h"

namespace masticpass::measure {

struct fleet_programs {
    std::string masticpass;
    std::string standin;
    int base_port = 24000;
};

struct fleet_options {
    synthetic_fleet fleet;
    int entries = 1;
    // Number of VMs, counted from the first, for which backend stand-ins are started. The others are only in
    // the VM list.
    int backends = 0;
    int call_timeout_ms = 2000;
};

// Runs the platform stand-in, backend stand-ins and entry VMs as processes on loopback. The destructor stops
// them.
class process_fleet {
public:
    // Starts the processes, declares the configuration, and waits until it is in force in all entry VMs and
    // all pools have records. Throws std::runtime_error if one of these conditions takes longer than a
    // minute.
    process_fleet(const fleet_programs& programs, const fleet_options& options);
    ~process_fleet();
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    int entry_count() const { return static_cast<int>(entries_.size()); }
    process_usage usage_of_entry(int number) const;
    std::string caller_address(int number) const;
    operations_client operations_client_of(int number) const;
    std::int64_t revision_in_force(int number) const;
    // The counters of the platform stand-in: for each kind of call, calls, bytes_received and bytes_sent.
    Json::Value platform_counters() const;
    // Sets the faults that the platform stand-in injects. Throws std::runtime_error if it rejects them.
    void set_faults(const std::string& json) const;
    // A configuration change that sets the quota of one team. The quota depends on the id.
    configuration_change quota_change(const std::string& id) const;

private:
    using process_list = std::vector<std::unique_ptr<process_test::child_process>>;

    int entry_port(int number) const;
    void start_platform();
    void start_backends();
    void start_entries();
    void declare_configuration();
    void wait_until_ready() const;
    void start(process_list& list, const std::vector<std::string>& command, const std::string& name);

    const fleet_programs programs_;
    const fleet_options options_;
    std::string directory_;
    process_list platform_;
    process_list backends_;
    process_list entries_;
};

}  // namespace masticpass::measure

#endif
