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
    // Backend stand-ins are started for the first VMs; the others are only in the VM list.
    int backends = 0;
    int call_timeout_ms = 2000;
};

// The platform stand-in, backend stand-ins and entry VMs as processes on loopback, which end with the object.
class process_fleet {
public:
    // Starts everything, declares the configuration, and waits until all entry VMs are ready and all pools
    // have records. Throws std::runtime_error if that is not reached within a minute.
    process_fleet(const fleet_programs& programs, const fleet_options& options);
    ~process_fleet();
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    int entry_count() const { return static_cast<int>(entries_.size()); }
    process_usage usage_of_entry(int number) const;
    std::string caller_address(int number) const;
    operations_client operations_client_of(int number) const;
    std::int64_t revision_in_force(int number) const;
    // Calls of the platform stand-in by kind, each with calls, bytes_received and bytes_sent.
    Json::Value platform_counters() const;
    void set_faults(const std::string& json) const;
    // A change that sets the quota of one team.
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
