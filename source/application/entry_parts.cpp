#include "application/entry_parts.h"

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

// The entry VM that rendezvous hashing gives this key starts the moves of placement.
constexpr std::string_view placement_key = "placement";
constexpr absl::Duration tick_interval = absl::Milliseconds(5);
// 200 wake-ups a second took 17% of the processor time of an entry VM without requests.
constexpr absl::Duration idle_tick_interval = absl::Milliseconds(20);
constexpr absl::Duration question_interval = absl::Milliseconds(10);
// Short against the 500 ms after which an attempt is overdue at the earliest.
constexpr absl::Duration supervision_interval = absl::Milliseconds(50);
constexpr absl::Duration housekeeping_interval = absl::Seconds(1);
constexpr absl::Duration process_check_timeout = absl::Milliseconds(200);

exchange_limits to_platform_limits(const settings& configured) {
    exchange_limits limits;
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

identity_registry_options to_once_options(const settings& configured) {
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

entry_parts::entry_parts(const settings& used)
    : configured(used),
      self(new_incarnation()),
      records([this](const record& changed) { take_record(changed); }),
      fleet(used.entry.zone, metrics),
      gateway(to_string(used.platform.store), to_platform_limits(used)),
      store(gateway, std::string(store_namespace)),
      vm_listing_client(to_string(used.platform.vms), to_platform_limits(used)),
      control(to_string(used.platform.vms), to_platform_limits(used)),
      ledger(self),
      backends(to_backend_limits(used), time_source, ledger),
      peers(used.platform.call_timeout, to_peer_limits(used), time_source),
      forwards(used.entry, used.distance),
      router({self, time_source, backends, peers, forwards, directory, ledger, metrics},
             to_once_options(used)),
      retries(metrics),
      observer(fleet, time_source, observer_sources()),
      placement_observer(fleet, time_source, observer_sources()) {}

fleet_sources entry_parts::observer_sources() {
    return {[this] { return listed ? listed->latest() : std::make_shared<const vm_listing>(); },
            [this] { return all_heartbeats(); },
            [this](const allotment_member& member) { return is_gone(member); }};
}

void entry_parts::take_record(const record& changed) {
    fleet.apply(changed);
    if (service_table) {
        service_table->update_now();
    }
}

std::vector<server_observation> entry_parts::observations() const {
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

std::uint64_t entry_parts::complete_revision() const {
    return watcher && watcher->is_loaded() ? watched_revision.load() : 0;
}

bool entry_parts::has_fresh_pools() const {
    // The watcher hands out changes in the order of their revisions, so with the allotment it has handed out
    // all pool records that are older.
    const auto held = records.find(allotment_key(configured.entry.zone));
    return held && fleet.own_allotment().contains(self) && complete_revision() >= held->revision;
}

heartbeat entry_parts::own_heartbeat() {
    heartbeat beat;
    beat.entry = configured.entry.id;
    beat.incarnation = self;
    beat.region = configured.entry.region;
    beat.zone = configured.entry.zone;
    beat.address = to_string(configured.listen.peer);
    beat.configuration_revision = static_cast<std::uint64_t>(fleet.configuration_revision());
    beat.record_revision = complete_revision();
    beat.store_reachable =
        watcher && watcher->is_store_reachable() && registration && registration->is_store_answering();
    beat.stopping = stopping;
    const allotment_acknowledgement settled = ledger.announcement();
    beat.allotment_epoch = settled.epoch;
    beat.unsettled = settled.pending_instances;
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

std::vector<heartbeat> entry_parts::all_heartbeats() {
    std::vector<heartbeat> result = membership->latest_heartbeats();
    result.push_back(own_heartbeat());
    return result;
}

void entry_parts::receive(const heartbeat& beat) {
    forwards.update(beat);
    if (beat.zone != configured.entry.zone) {
        return;
    }
    ledger.announced(beat.incarnation, {beat.allotment_epoch, beat.unsettled});
    for (const server_observation& observed : beat.observations) {
        if (observed.condition == server_condition::leaving) {
            directory.mark_leaving(observed.vm, observed.boot);
        }
    }
}

bool entry_parts::is_gone(const allotment_member& member) const {
    if (member.incarnation == self) {
        return false;
    }
    if (membership->is_terminated(member.entry, member.incarnation)) {
        return true;
    }
    for (const auto& known : membership->alive(zone_name())) {
        if (known.observation.incarnation == member.incarnation) {
            return false;
        }
        // Another process cannot listen at the address of a process that still runs.
        if (known.observation.address == member.address) {
            return true;
        }
    }
    const auto address = parse_socket_address(member.address);
    return address && is_process_gone(*address, process_check_timeout);
}

bool entry_parts::is_own_pool(const pool_name& pool) const {
    return rendezvous_owner(pool.value(), membership->candidates(zone_name())) == configured.entry.id;
}

std::set<vm_id> entry_parts::own_probes(const std::vector<server_state>& servers) const {
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

void entry_parts::housekeep() {
    backends.close_stale();
    router.check_ejected_servers();
    std::set<std::string> addresses;
    for (const record& registered : records.with_prefix(entry_registration_prefix)) {
        if (const auto parsed = parse_registration(registered.key, registered.value)) {
            addresses.insert(parsed->address);
        }
    }
    membership->set_registered(addresses);
    metrics.set({"masticpass_requests_in_flight", "", ""}, ledger.in_flight());
    metrics.set({"masticpass_requests_open", "", ""}, router.open_requests());
    for (const routed_load& load : router.loads()) {
        metrics.set({"masticpass_queued_requests", "service", load.service.value()}, load.load.queued);
        metrics.set({"masticpass_free_slots", "service", load.service.value()}, load.load.free_slots);
    }
}

void entry_parts::hand_over_identities() {
    const std::vector<identity_transfer> transfers = router.identities().hand_over();
    auto candidates = membership->alive(configured.entry.zone);
    if (candidates.empty()) {
        candidates = membership->alive(zone_name());
    }
    for (const auto& candidate : candidates) {
        const auto taken = peers.hand_over_identities(candidate.observation.address, transfers);
        // A peer that gave no answer may have them, so no other one may get them.
        const bool may_hold = taken ? *taken : taken.error() == peer_error::no_answer;
        log_event(
            log_severity::info, "identities_handed_over",
            {{"entry", candidate.observation.entry.value()}, {"taken", taken && *taken ? "yes" : "no"}});
        if (may_hold) {
            return;
        }
    }
}

health_state entry_parts::health() const {
    if (stopping) {
        return {false, "stopping"};
    }
    if (fleet.configuration_revision() == 0) {
        return {false, "no configuration is in force"};
    }
    return {true, ""};
}

void entry_parts::start_agents() {
    // Before the agents whose threads use them.
    watcher = std::make_unique<store_watcher>(
        store, retries, watcher_random, "", [this](const store_change& change) {
            const auto revision = static_cast<std::uint64_t>(change.entry.revision);
            records.offer({change.entry.key, change.removed ? std::string() : change.entry.value, revision});
            watched_revision = std::max<std::uint64_t>(watched_revision, revision);
        });
    const entry_registration own{configured.entry.id, configured.entry.zone, self,
                                 to_string(configured.listen.peer)};
    registration =
        std::make_unique<registration_agent>(store, retries, time_source, registration_random, own);
    service_table = std::make_unique<service_table_agent>(configured, fleet, directory, ledger, router,
                                                          [this] { return has_fresh_pools(); });
    membership_callbacks events;
    events.own_heartbeat = [this] { return own_heartbeat(); };
    events.on_heartbeat = [this](const heartbeat& beat) { receive(beat); };
    events.take_over_identities = [this](const std::vector<identity_transfer>& transfers) {
        return router.identities().take_over(transfers);
    };
    events.on_termination = [this](const incarnation_id& gone) { ledger.proved_gone(gone); };
    membership = std::make_unique<membership_agent>(configured, self, peers, records, time_source, metrics,
                                                    membership_random, std::move(events));
    listed = std::make_unique<vm_list_agent>(vm_listing_client, configured.timing.vm_poll, metrics,
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
                                                      const bool gone = is_gone(member);
                                                      if (gone) {
                                                          ledger.proved_gone(member.incarnation);
                                                      }
                                                      return gone;
                                                  });
    probes = std::make_unique<probe_agent>(
        backends, directory, time_source, metrics, configured.timing.probe,
        [this](const std::vector<server_state>& servers) { return own_probes(servers); },
        [this] { membership->exchange_now(); });
    maintenance =
        std::make_unique<maintenance_agent>(self, store, control, records, fleet, observer, metrics,
                                            [this](const pool_name& pool) { return is_own_pool(pool); });
    placement = std::make_unique<placement_agent>(
        fleet, *maintenance, time_source, metrics,
        placement_agent::sources{
            [this] { return all_heartbeats(); }, [this] { return placement_observer.vms(); },
            [this] {
                return rendezvous_owner(placement_key, membership->candidates(zone_name())) ==
                       configured.entry.id;
            }});
    changes = std::make_unique<configuration_agent>(self, store, retries, time_source, records, fleet);
    operator_calls = std::make_unique<entry_fleet_service>(
        entry_fleet_service::parts{configured, self, time_source, fleet, *changes, *maintenance, *membership,
                                   [this] { return own_heartbeat(); }});
    ticker = std::make_unique<periodic_thread>([this] {
        router.tick();
        return router.open_requests() > 0 ? tick_interval : idle_tick_interval;
    });
    supervisor = std::make_unique<periodic_thread>(
        [this] { return router.supervise() ? question_interval : supervision_interval; });
    housekeeper = std::make_unique<periodic_thread>(housekeeping_interval, [this] { housekeep(); });
}

void entry_parts::stop_agents() {
    housekeeper.reset();
    supervisor.reset();
    ticker.reset();
    placement.reset();
    maintenance.reset();
    probes.reset();
    allotment.reset();
    membership->stop();
    registration.reset();
    watcher.reset();
    listed.reset();
}

}  // namespace masticpass
