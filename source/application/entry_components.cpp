#include "application/entry_components.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

#include "agent/entry_registration.h"
#include "agent/record_keys.h"
#include "decision/membership/incarnation.h"
#include "decision/membership/rendezvous.h"
#include "peer/process_check.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Rendezvous hashing assigns this key to the entry VM that starts the placement moves.
constexpr std::string_view placement_key = "placement";
constexpr absl::Duration tick_interval = absl::Milliseconds(5);
// Used while no request is open: 200 wake-ups per second took 17% of the CPU time of an entry VM without
// requests.
constexpr absl::Duration idle_tick_interval = absl::Milliseconds(20);
// Supervision interval while an attempt is overdue, since others may be overdue as well.
constexpr absl::Duration overdue_attempt_interval = absl::Milliseconds(10);
// Short compared with the 500 ms after which an attempt is overdue at the earliest.
constexpr absl::Duration supervision_interval = absl::Milliseconds(50);
constexpr absl::Duration housekeeping_interval = absl::Seconds(1);
constexpr absl::Duration process_check_timeout = absl::Milliseconds(200);

http_connection_limits to_platform_limits(const settings& configured) {
    http_connection_limits limits;
    limits.call_timeout = configured.platform.call_timeout;
    return limits;
}

backend_limits to_backend_limits(const settings& configured) {
    backend_limits limits;
    limits.idle_timeout = configured.timing.idle_connection;
    limits.connection.response_bytes = configured.limits.response_bytes;
    return limits;
}

connection_limits to_peer_limits(const settings& configured) {
    connection_limits limits;
    limits.response_bytes = configured.limits.response_bytes;
    return limits;
}

identity_registry_options to_identity_options(const settings& configured) {
    identity_registry_options options;
    options.lifetime = configured.timing.identity_validity;
    options.maximum_cache_bytes = configured.limits.response_cache_bytes;
    return options;
}

incarnation_id new_incarnation() {
    absl::BitGen random;
    return make_incarnation_id(absl::Now(), absl::Uniform<std::uint32_t>(random));
}

}  // namespace

entry_components::entry_components(const settings& checked_settings)
    : configured(checked_settings),
      self(new_incarnation()),
      records([this](const record& changed) { handle_record_change(changed); }),
      fleet(checked_settings.entry.zone, metrics),
      store_gateway(to_string(checked_settings.platform.store), to_platform_limits(checked_settings)),
      store(store_gateway, std::string(store_namespace)),
      vm_list_client(to_string(checked_settings.platform.vms), to_platform_limits(checked_settings)),
      vm_control_client(to_string(checked_settings.platform.vms), to_platform_limits(checked_settings)),
      quota(self),
      backends(to_backend_limits(checked_settings), time_source, quota),
      peers(checked_settings.platform.call_timeout, to_peer_limits(checked_settings), time_source),
      known_peers(checked_settings.entry, checked_settings.distance),
      router({self, time_source, backends, peers, known_peers, directory, quota, metrics},
             to_identity_options(checked_settings)),
      retries(metrics),
      maintenance_observer(fleet, time_source, observer_sources()),
      placement_observer(fleet, time_source, observer_sources()) {}

fleet_sources entry_components::observer_sources() {
    return {[this] { return listed_vms ? listed_vms->latest() : std::make_shared<const vm_listing>(); },
            [this] { return all_heartbeats(); },
            [this](const allotment_member& member) { return is_terminated(member); }};
}

void entry_components::handle_record_change(const record& changed) {
    fleet.apply(changed);
    if (service_table) {
        service_table->update_now();
    }
}

std::vector<server_observation> entry_components::observations() const {
    std::vector<server_observation> result;
    for (const server_state& server : directory.impaired()) {
        if (server.zone != configured.entry.zone) {
            continue;
        }
        if (server.unreachable) {
            result.push_back({server.vm, server.boot, server_condition::unreachable});
        } else if (server.leaving) {
            result.push_back({server.vm, server.boot, server_condition::leaving});
        } else if (server.ejected) {
            result.push_back({server.vm, server.boot, server_condition::ejected});
        }
    }
    return result;
}

std::uint64_t entry_components::complete_revision() const {
    return watcher && watcher->is_loaded() ? watched_revision.load() : 0;
}

bool entry_components::has_fresh_pools() const {
    // The watcher delivers changes in the order of their revisions, so once it has delivered the allotment,
    // it has delivered all older pool records.
    const auto stored_allotment = records.find(allotment_key(configured.entry.zone));
    return stored_allotment && fleet.own_allotment().contains(self) &&
           complete_revision() >= stored_allotment->revision;
}

heartbeat entry_components::own_heartbeat() {
    heartbeat beat;
    beat.entry = configured.entry.id;
    beat.incarnation = self;
    beat.region = configured.entry.region;
    beat.zone = configured.entry.zone;
    beat.address = to_string(configured.listen.peer);
    beat.configuration_revision = static_cast<std::uint64_t>(fleet.configuration_revision());
    beat.record_revision = complete_revision();
    beat.store_reachable =
        watcher && watcher->is_store_reachable() && registration && registration->is_store_responding();
    beat.stopping = is_stopping;
    const allotment_acknowledgement acknowledgement = quota.acknowledgement();
    beat.allotment_epoch = acknowledgement.epoch;
    beat.unsettled = acknowledgement.pending_instances;
    for (const routed_load& load : router.loads()) {
        beat.services.push_back({load.service, load.load.free_slots, load.load.queued,
                                 static_cast<double>(load.load.running + load.load.queued)});
    }
    beat.observations = observations();
    beat.taken_over = router.identities().taken_over();
    if (service_table) {
        beat.drained = service_table->drained();
    }
    return beat;
}

std::vector<heartbeat> entry_components::all_heartbeats() {
    std::vector<heartbeat> result = membership->latest_heartbeats();
    result.push_back(own_heartbeat());
    return result;
}

void entry_components::handle_heartbeat(const heartbeat& beat) {
    known_peers.update(beat);
    if (beat.zone != configured.entry.zone) {
        return;
    }
    quota.record_acknowledgement(beat.incarnation, {beat.allotment_epoch, beat.unsettled});
    for (const server_observation& observation : beat.observations) {
        if (observation.condition == server_condition::leaving) {
            directory.mark_leaving(observation.vm, observation.boot);
        }
    }
}

bool entry_components::is_terminated(const allotment_member& member) const {
    if (member.incarnation == self) {
        return false;
    }
    if (membership->is_terminated(member.entry, member.incarnation)) {
        return true;
    }
    for (const auto& live_entry : membership->alive(zone_name())) {
        if (live_entry.observation.incarnation == member.incarnation) {
            return false;
        }
        // Two processes cannot listen at the same address, so the process of the member has terminated.
        if (live_entry.observation.address == member.address) {
            return true;
        }
    }
    const auto address = parse_socket_address(member.address);
    return address && is_process_terminated(*address, process_check_timeout);
}

bool entry_components::is_own_pool(const pool_name& pool) const {
    return rendezvous_owner(pool.value(), membership->candidates(zone_name())) == configured.entry.id;
}

std::set<vm_id> entry_components::vms_to_probe(const std::vector<server_state>& servers) const {
    const std::vector<entry_id> candidates = membership->candidates(configured.entry.zone);
    std::set<vm_id> result;
    for (const server_state& server : servers) {
        if (server.zone == configured.entry.zone &&
            rendezvous_owner(server.vm.value(), candidates) == configured.entry.id) {
            result.insert(server.vm);
        }
    }
    return result;
}

void entry_components::run_housekeeping() {
    backends.close_stale();
    router.check_ejected_servers();
    std::set<std::string> addresses;
    for (const record& registered : records.with_prefix(entry_registration_prefix)) {
        if (const auto parsed = parse_registration(registered.key, registered.value)) {
            addresses.insert(parsed->address);
        }
    }
    membership->set_registered(addresses);
    metrics.set({"masticpass_requests_in_flight", "", ""}, quota.in_flight());
    metrics.set({"masticpass_requests_open", "", ""}, router.open_requests());
    for (const routed_load& load : router.loads()) {
        metrics.set({"masticpass_queued_requests", "service", load.service.value()}, load.load.queued);
        metrics.set({"masticpass_free_slots", "service", load.service.value()}, load.load.free_slots);
    }
}

void entry_components::hand_over_identities() {
    const std::vector<identity_transfer> transfers = router.identities().hand_over();
    auto candidates = membership->alive(configured.entry.zone);
    if (candidates.empty()) {
        candidates = membership->alive(zone_name());
    }
    for (const auto& candidate : candidates) {
        const auto accepted = peers.hand_over_identities(candidate.observation.address, transfers);
        // A peer that did not respond may have taken over the identities, so they are not handed to another
        // one.
        const bool may_have_taken_over = accepted ? *accepted : accepted.error() == peer_error::no_response;
        log_event(log_severity::info, "identities_handed_over",
                  {{"entry", candidate.observation.entry.value()},
                   {"taken", accepted && *accepted ? "yes" : "no"}});
        if (may_have_taken_over) {
            return;
        }
    }
}

health_state entry_components::health() const {
    if (is_stopping) {
        return {false, "stopping"};
    }
    if (fleet.configuration_revision() == 0) {
        return {false, "no configuration is in force"};
    }
    return {true, ""};
}

void entry_components::start_agents() {
    // The watcher, the registration and the service table are created before the agents whose threads use
    // them.
    watcher = std::make_unique<store_watcher>(
        store, retries, watcher_random, "", [this](const store_change& change) {
            const auto revision = static_cast<std::uint64_t>(change.entry.revision);
            records.offer({change.entry.key, change.removed ? std::string() : change.entry.value, revision});
            watched_revision = std::max<std::uint64_t>(watched_revision, revision);
        });
    const entry_registration own_registration{configured.entry.id, configured.entry.zone, self,
                                              to_string(configured.listen.peer)};
    registration = std::make_unique<registration_agent>(store, retries, time_source, registration_random,
                                                        own_registration);
    service_table = std::make_unique<service_table_agent>(configured, fleet, directory, quota, router,
                                                          [this] { return has_fresh_pools(); });
    membership_callbacks callbacks;
    callbacks.own_heartbeat = [this] { return own_heartbeat(); };
    callbacks.on_heartbeat = [this](const heartbeat& beat) { handle_heartbeat(beat); };
    callbacks.take_over_identities = [this](const std::vector<identity_transfer>& transfers) {
        return router.identities().take_over(transfers);
    };
    callbacks.on_termination = [this](const incarnation_id& incarnation) {
        quota.mark_terminated(incarnation);
    };
    membership = std::make_unique<membership_agent>(configured, self, peers, records, time_source, metrics,
                                                    membership_random, std::move(callbacks));
    listed_vms = std::make_unique<vm_list_agent>(vm_list_client, configured.timing.vm_poll, metrics,
                                                 [this](const vm_listing& listing) {
                                                     directory.update(listing);
                                                     if (service_table) {
                                                         service_table->update_now();
                                                     }
                                                 });
    watcher->start();
    registration->start();
    allotment = std::make_unique<allotment_agent>(configured, self, store, records, fleet, metrics,
                                                  [this](const allotment_member& member) {
                                                      const bool terminated = is_terminated(member);
                                                      if (terminated) {
                                                          quota.mark_terminated(member.incarnation);
                                                      }
                                                      return terminated;
                                                  });
    probes = std::make_unique<probe_agent>(
        backends, directory, time_source, metrics, configured.timing.probe,
        [this](const std::vector<server_state>& servers) { return vms_to_probe(servers); },
        [this] { membership->exchange_now(); });
    maintenance = std::make_unique<maintenance_agent>(
        self, store, vm_control_client, records, fleet, maintenance_observer, metrics,
        [this](const pool_name& pool) { return is_own_pool(pool); });
    placement = std::make_unique<placement_agent>(
        fleet, *maintenance, time_source, metrics,
        placement_agent::sources{
            [this] { return all_heartbeats(); }, [this] { return placement_observer.vms(); },
            [this] {
                return rendezvous_owner(placement_key, membership->candidates(zone_name())) ==
                       configured.entry.id;
            }});
    configuration = std::make_unique<configuration_agent>(self, store, retries, time_source, records, fleet);
    operations_service = std::make_unique<entry_fleet_service>(
        entry_fleet_service::dependencies{configured, self, time_source, fleet, *configuration, *maintenance,
                                          *membership, [this] { return own_heartbeat(); }});
    tick_thread = std::make_unique<periodic_thread>([this] {
        router.tick();
        return router.open_requests() > 0 ? tick_interval : idle_tick_interval;
    });
    supervision_thread = std::make_unique<periodic_thread>(
        [this] { return router.supervise() ? overdue_attempt_interval : supervision_interval; });
    housekeeping_thread =
        std::make_unique<periodic_thread>(housekeeping_interval, [this] { run_housekeeping(); });
}

void entry_components::stop_agents() {
    housekeeping_thread.reset();
    supervision_thread.reset();
    tick_thread.reset();
    placement.reset();
    maintenance.reset();
    probes.reset();
    allotment.reset();
    membership->stop();
    registration.reset();
    watcher.reset();
    listed_vms.reset();
}

}  // namespace masticpass
