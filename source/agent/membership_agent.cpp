#include "agent/membership_agent.h"

#include <utility>

#include "agent/record_keys.h"
#include "peer/process_check.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// The heartbeat timeout in heartbeat intervals: an entry VM counts as live for this long after its last
// heartbeat.
constexpr int heartbeat_timeout_intervals = 4;
constexpr absl::Duration process_check_timeout = absl::Milliseconds(300);

entry_observation to_observation(const heartbeat& beat) {
    return {beat.entry,
            beat.incarnation,
            beat.zone,
            beat.address,
            static_cast<std::int64_t>(beat.configuration_revision),
            beat.store_reachable};
}

}  // namespace

membership_agent::membership_agent(const settings& configured, const incarnation_id& self, peer_client& peers,
                                   record_cache& records, const clock& time_source, metrics_registry& metrics,
                                   absl::BitGenRef random, membership_callbacks callbacks)
    : configured_(configured),
      self_(self),
      own_address_(to_string(configured.listen.peer)),
      peers_(peers),
      records_(records),
      clock_(time_source),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      heartbeat_timeout_(configured.timing.heartbeat * heartbeat_timeout_intervals),
      timers_(configured.timing.heartbeat, random) {
    set_registered({});
}

membership_agent::~membership_agent() {
    stop();
}

void membership_agent::stop() {
    std::map<std::string, std::unique_ptr<periodic_thread>> stopped_threads;
    {
        const absl::MutexLock lock(&threads_mutex_);
        stopped_ = true;
        stopped_threads.swap(exchange_threads_);
    }
}

void membership_agent::set_registered(const std::set<std::string>& addresses) {
    // Destroyed after the lock is released, because a thread that is being joined may wait for it.
    std::vector<std::unique_ptr<periodic_thread>> stopped_threads;
    const absl::MutexLock lock(&threads_mutex_);
    if (stopped_) {
        return;
    }
    std::set<std::string> peer_addresses = addresses;
    for (const peer_settings& peer : configured_.peers) {
        peer_addresses.insert(to_string(peer.address));
    }
    peer_addresses.erase(own_address_);
    for (auto& [address, thread] : exchange_threads_) {
        if (!peer_addresses.contains(address)) {
            stopped_threads.push_back(std::move(thread));
        }
    }
    std::erase_if(exchange_threads_, [](const auto& thread) { return thread.second == nullptr; });
    for (const std::string& address : peer_addresses) {
        if (!exchange_threads_.contains(address)) {
            exchange_threads_.emplace(address, std::make_unique<periodic_thread>(
                                                   [this, address] { return exchange_if_due(address); }));
        }
    }
}

void membership_agent::exchange_now() {
    const absl::MutexLock lock(&threads_mutex_);
    for (const auto& [address, thread] : exchange_threads_) {
        {
            const absl::MutexLock state_lock(&mutex_);
            requested_exchanges_.insert(address);
        }
        thread->wake();
    }
}

bool membership_agent::should_exchange(const std::string& address) {
    const absl::MutexLock lock(&mutex_);
    return requested_exchanges_.erase(address) > 0 ||
           timers_.time_remaining(address, clock_.now()) == absl::ZeroDuration();
}

absl::Duration membership_agent::exchange_if_due(const std::string& address) {
    const bool is_due = should_exchange(address);
    if (is_due) {
        exchange(address);
    }
    const absl::MutexLock lock(&mutex_);
    if (is_due) {
        timers_.restart(address, clock_.now());
    }
    return timers_.time_remaining(address, clock_.now());
}

heartbeat membership_agent::next_heartbeat(const std::string& address) {
    const absl::MutexLock lock(&numbering_mutex_);
    heartbeat own = callbacks_.own_heartbeat();
    loads_.reduce(address, own);
    return own;
}

void membership_agent::exchange(const std::string& address) {
    const heartbeat own = next_heartbeat(address);
    const auto response = peers_.exchange_heartbeat(address, own);
    if (!response) {
        metrics_.count({"masticpass_heartbeat_failures_total", "reason",
                        response.error() == peer_error::not_connected ? "refused" : "no-answer"});
        handle_exchange_failure(address);
        return;
    }
    if (response->incarnation == self_ || !accept(*response)) {
        return;
    }
    reconcile(address, own, *response);
}

void membership_agent::handle_exchange_failure(const std::string& address) {
    const auto parsed = parse_socket_address(address);
    std::vector<entry_observation> possibly_running;
    {
        const absl::MutexLock lock(&mutex_);
        possibly_running = view_.possibly_running_at(address);
    }
    if (possibly_running.empty() || !parsed || !is_process_terminated(*parsed, process_check_timeout)) {
        return;
    }
    for (const auto& observed : possibly_running) {
        {
            const absl::MutexLock lock(&mutex_);
            view_.record_termination(observed.entry, observed.incarnation,
                                     termination_proof::connection_refused);
        }
        log_event(log_severity::info, "entry_terminated",
                  {{"entry", observed.entry.value()}, {"incarnation", observed.incarnation.value()}});
        callbacks_.on_termination(observed.incarnation);
    }
}

bool membership_agent::accept(heartbeat beat) {
    loads_.complete(beat);
    std::vector<incarnation_id> proved_terminated;
    {
        const absl::MutexLock lock(&mutex_);
        const auto last = latest_heartbeats_.find(beat.entry);
        if (last != latest_heartbeats_.end() && last->second.incarnation == beat.incarnation &&
            beat.loads_number < last->second.loads_number) {
            // Two concurrent exchanges may end in the reverse order.
            return false;
        }
        const auto earlier = view_.possibly_running_of(beat.entry);
        if (!view_.record_heartbeat(to_observation(beat), clock_.now())) {
            return false;
        }
        for (const entry_observation& observed : earlier) {
            if (view_.find_termination_proof(observed.entry, observed.incarnation)) {
                proved_terminated.push_back(observed.incarnation);
            }
        }
        latest_heartbeats_[beat.entry] = beat;
    }
    for (const incarnation_id& incarnation : proved_terminated) {
        callbacks_.on_termination(incarnation);
    }
    callbacks_.on_heartbeat(beat);
    return true;
}

bool membership_agent::should_pull(const heartbeat& own, const heartbeat& peer) {
    const absl::MutexLock lock(&mutex_);
    const auto previous = peer_revisions_.find(peer.entry);
    const bool is_late =
        previous != peer_revisions_.end() && (previous->second.first > own.configuration_revision ||
                                              previous->second.second > own.record_revision);
    const bool is_behind = peer.configuration_revision > own.configuration_revision ||
                           peer.record_revision > own.record_revision;
    peer_revisions_[peer.entry] = {peer.configuration_revision, peer.record_revision};
    return is_behind && (is_late || !own.store_reachable);
}

void membership_agent::reconcile(const std::string& address, const heartbeat& own, const heartbeat& peer) {
    const bool peer_has_newer_configuration = peer.configuration_revision > own.configuration_revision;
    if (should_pull(own, peer)) {
        // The configuration may be older than the peer's although newer records of other keys are known.
        const std::uint64_t known = peer_has_newer_configuration ? 0 : own.record_revision;
        if (const auto pulled = peers_.records_after(address, known)) {
            receive_records(*pulled);
        }
    }
    // A peer that reaches the store requests the records that its watch does not deliver.
    if (peer.configuration_revision < own.configuration_revision && !peer.store_reachable) {
        if (const auto held = records_.find(std::string(configuration_key))) {
            // If the push is lost, it is repeated after the next exchange.
            static_cast<void>(peers_.push_records(address, {*held}));
        }
    }
}

heartbeat membership_agent::receive_heartbeat(const heartbeat& beat) {
    if (beat.incarnation != self_ && accept(beat)) {
        const absl::MutexLock lock(&mutex_);
        timers_.restart(beat.address, clock_.now());
    }
    heartbeat own = next_heartbeat(beat.address);
    if (beat.configuration_revision > own.configuration_revision ||
        beat.record_revision > own.record_revision) {
        // This entry VM has older records than the sender. It starts an exchange with the sender when the
        // current pause of the exchange thread ends, and requests the missing records then.
        const absl::MutexLock lock(&mutex_);
        requested_exchanges_.insert(beat.address);
        peer_revisions_[beat.entry] = {beat.configuration_revision, beat.record_revision};
    }
    return own;
}

bool membership_agent::take_over_identities(const std::vector<identity_transfer>& transfers) {
    const bool accepted = callbacks_.take_over_identities && callbacks_.take_over_identities(transfers);
    if (accepted) {
        exchange_now();
    }
    return accepted;
}

std::vector<record> membership_agent::records_after(std::uint64_t revision) {
    return records_.after(revision);
}

void membership_agent::receive_records(const std::vector<record>& records) {
    for (const record& received : records) {
        records_.offer(received);
    }
}

std::vector<membership_view::known_entry> membership_agent::alive(const zone_name& zone) const {
    const absl::MutexLock lock(&mutex_);
    return view_.alive(zone, clock_.now(), heartbeat_timeout_);
}

bool membership_agent::is_terminated(const entry_id& entry, const incarnation_id& incarnation) const {
    const absl::MutexLock lock(&mutex_);
    return view_.find_termination_proof(entry, incarnation).has_value();
}

std::vector<heartbeat> membership_agent::latest_heartbeats() const {
    const absl::MutexLock lock(&mutex_);
    std::vector<heartbeat> result;
    for (const auto& known : view_.alive(zone_name(), clock_.now(), heartbeat_timeout_)) {
        result.push_back(latest_heartbeats_.at(known.observation.entry));
    }
    return result;
}

std::vector<entry_id> membership_agent::candidates(const zone_name& zone) const {
    std::vector<entry_id> result = entry_ids(alive(zone));
    if (zone.empty() || zone == configured_.entry.zone) {
        result.push_back(configured_.entry.id);
    }
    return result;
}

}  // namespace masticpass
