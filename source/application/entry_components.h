#ifndef MASTICPASS_APPLICATION_ENTRY_COMPONENTS_H
#define MASTICPASS_APPLICATION_ENTRY_COMPONENTS_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include <absl/random/random.h>

#include "agent/allotment_agent.h"
#include "agent/configuration_agent.h"
#include "agent/fleet_observer.h"
#include "agent/fleet_state.h"
#include "agent/maintenance_agent.h"
#include "agent/membership_agent.h"
#include "agent/metrics_retry_counter.h"
#include "agent/placement_agent.h"
#include "agent/probe_agent.h"
#include "agent/record_cache.h"
#include "agent/registration_agent.h"
#include "agent/service_table_agent.h"
#include "agent/store_watcher.h"
#include "agent/vm_list_agent.h"
#include "application/entry_fleet_service.h"
#include "backend/http_backend_client.h"
#include "caller/caller_server.h"
#include "operations/operations_server.h"
#include "peer/http_peer_client.h"
#include "peer/peer_server.h"
#include "routing/request_router.h"
#include "status/status_server.h"
#include "store/etcd_gateway_store.h"
#include "store/namespaced_store.h"
#include "vm/http_vm_control.h"
#include "vm/http_vm_list.h"

namespace masticpass {

// The components of an entry VM and the connections between them. The members are constructed in the order of
// their dependencies and destroyed in reverse. Ownership: owns all components; owned by the entry_vm. Thread
// safety: construct, `start_agents`, `stop_agents` and `hand_over_identities` on one thread; the other
// methods are called from the threads of agents and servers.
struct entry_components {
    explicit entry_components(const settings& checked_settings);

    fleet_sources observer_sources();
    void start_agents();
    void stop_agents();
    void handle_record_change(const record& changed);
    // Returns the store revision up to which all records have been received; 0 if not all have been loaded
    // yet.
    std::uint64_t complete_revision() const;
    // Returns whether the allotment of this zone contains this incarnation and all pool records that are
    // older than that allotment have been received.
    bool has_fresh_pools() const;
    heartbeat own_heartbeat();
    // Returns the last heartbeats of all entry VMs from which one was received recently, and that of this
    // one.
    std::vector<heartbeat> all_heartbeats();
    void handle_heartbeat(const heartbeat& beat);
    // Returns whether the process of the member is proved to have terminated. May connect to its address.
    bool is_terminated(const allotment_member& member) const;
    // Returns whether rendezvous hashing assigns the pool to this entry VM.
    bool is_own_pool(const pool_name& pool) const;
    // Returns the VMs of this zone that rendezvous hashing assigns to this entry VM for probing.
    std::set<vm_id> vms_to_probe(const std::vector<server_state>& servers) const;
    void run_housekeeping();
    // Transfers the request identities to another entry VM, preferably of this zone.
    void hand_over_identities();
    health_state health() const;
    // Returns the conditions of the impaired backend servers of this zone.
    std::vector<server_observation> observations() const;

    const settings configured;
    const incarnation_id self;
    const monotonic_clock time_source;
    metrics_registry metrics;
    record_cache records;
    fleet_state fleet;
    etcd_gateway_store store_gateway;
    namespaced_store store;
    http_vm_list vm_list_client;
    http_vm_control vm_control_client;
    server_directory directory;
    slot_quota quota;
    http_backend_client backends;
    http_peer_client peers;
    peer_directory known_peers;
    request_router router;
    metrics_retry_counter retries;
    // Each agent has its own observer, since an observer is used by only one thread.
    fleet_observer maintenance_observer;
    fleet_observer placement_observer;
    std::atomic<bool> is_stopping = false;
    // The highest store revision that the watcher has delivered.
    std::atomic<std::uint64_t> watched_revision = 0;

    absl::BitGen watcher_random;
    absl::BitGen registration_random;
    absl::BitGen membership_random;
    std::unique_ptr<membership_agent> membership;
    std::unique_ptr<vm_list_agent> listed_vms;
    std::unique_ptr<store_watcher> watcher;
    std::unique_ptr<registration_agent> registration;
    std::unique_ptr<allotment_agent> allotment;
    std::unique_ptr<service_table_agent> service_table;
    std::unique_ptr<probe_agent> probes;
    std::unique_ptr<maintenance_agent> maintenance;
    std::unique_ptr<placement_agent> placement;
    std::unique_ptr<configuration_agent> configuration;
    std::unique_ptr<entry_fleet_service> operations_service;
    std::unique_ptr<periodic_thread> tick_thread;
    std::unique_ptr<periodic_thread> supervision_thread;
    std::unique_ptr<periodic_thread> housekeeping_thread;
    std::unique_ptr<caller_server> caller_endpoint;
    std::unique_ptr<peer_server> peer_endpoint;
    std::unique_ptr<operations_server> operations_endpoint;
    std::unique_ptr<status_server> status_endpoint;
};

}  // namespace masticpass

#endif
