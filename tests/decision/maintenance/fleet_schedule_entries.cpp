#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

// A stale read returns the store as of less than `store_lag` writes ago, and the VM list as of less than
// `list_lag` steps ago.
constexpr int store_lag = 6;
constexpr int list_lag = 20;
// A step is one second. A VM counts as failed after its probes have failed for 10 s.
constexpr int probe_failure_steps = 10;

}  // namespace

// Simulates the request handling of an entry VM: refreshes its known records, acknowledges drained VMs, and
// starts and finishes requests.
void fleet_schedule::simulate_serving(entry_vm& entry) {
    if (!store_down_) {
        // The first read after joining the allotment must not be stale: a reboot does not wait for the
        // acknowledgement of an entry VM that joined after the reboot was permitted.
        const int lag = entry.known.empty()
                            ? 0
                            : random_below(std::min(store_lag, static_cast<int>(store_history_.size())));
        const record_map& read =
            *store_history_.at(store_history_.size() - 1 - static_cast<std::size_t>(lag));
        for (const auto& [pool, stored] : read) {
            if (stored.revision > entry.known[pool].revision) {
                entry.known[pool] = stored;
            }
        }
    }
    for (auto item = entry.in_flight.begin(); item != entry.in_flight.end();) {
        item = random_percent(40) ? entry.in_flight.erase(item) : std::next(item);
    }
    acknowledge(entry);
    for (const auto& [pool, stored] : entry.known) {
        for (const auto& [id, vm] : stored.record.vms) {
            if (vm.phase == vm_phase::serving && vm.zone == entry.zone &&
                vms_.at(id).state == power_state::up && vms_.at(id).role == pool && random_percent(20)) {
                entry.in_flight[id] = 1;
            }
        }
    }
}

void fleet_schedule::acknowledge(entry_vm& entry) {
    for (const auto& [pool, stored] : entry.known) {
        for (const auto& [id, vm] : stored.record.vms) {
            if ((vm.phase == vm_phase::reserved || vm.phase == vm_phase::moving_out) &&
                !entry.in_flight.contains(id)) {
                acknowledged_[{id, vm.operation}].insert(entry.incarnation);
                acknowledged_any_operation_[id].insert(entry.incarnation);
            }
        }
    }
}

maintenance_view fleet_schedule::make_view(const entry_vm& entry, bool stale) {
    maintenance_view view;
    view.self = entry.incarnation;
    view.next_sequence = entry.sequence;
    view.now = now_;
    view.limits = limits_;
    view.waves = waves_;
    view.moves = move_requests_;
    const auto read = [&](const auto& items, int lag) {
        const auto back = stale ? static_cast<std::size_t>(random_below(lag)) : 0;
        return *items.at(items.size() - 1 - std::min(items.size() - 1, back));
    };
    view.pools = read(store_history_, store_lag);
    view.vms = read(vm_list_history_, list_lag);
    for (auto& [id, seen] : view.vms) {
        const simulated_vm& vm = vms_.at(id);
        const bool up = vm.state == power_state::up;
        const bool blind = guard_ == disabled_guard::observed_failures;
        seen.last_probe_succeeded = up || blind;
        seen.failure_confirmed = !up && !blind && step_ - vm.down_since >= probe_failure_steps;
        if (guard_ == disabled_guard::list_order) {
            seen.list_index = step_;
        }
    }
    view.drain.senders = senders_;
    view.drain.proved_terminated = terminated_incarnations_;
    view.drain.acknowledged = acknowledged_;
    if (guard_ == disabled_guard::drain_operation) {
        for (const auto& [pool, stored] : view.pools) {
            for (const auto& [id, vm] : stored.record.vms) {
                view.drain.acknowledged[{id, vm.operation}] = acknowledged_any_operation_[id];
            }
        }
    }
    if (guard_ == disabled_guard::departure_evidence) {
        forge_departures(view);
    }
    return view;
}

void fleet_schedule::forge_departures(maintenance_view& view) const {
    for (const auto& [pool, stored] : std::map(view.pools)) {
        for (const auto& [id, vm] : stored.record.vms) {
            if (vm.phase == vm_phase::incoming && view.pools.contains(vm.other_pool)) {
                pool_record& source = view.pools.at(vm.other_pool).record;
                source.departures[id] = departure{pool, vm.operation, stored.revision};
            }
        }
    }
}

void fleet_schedule::decide(entry_vm& entry, const pool_name& pool, bool stale) {
    if (acknowledged_.size() > 40) {
        // Acknowledgements of completed operations are removed, because they only cost time.
        std::erase_if(acknowledged_, [&](const auto& item) {
            return std::none_of(
                store_history_.back()->begin(), store_history_.back()->end(), [&](const auto& stored) {
                    const auto vm = stored.second.record.vms.find(item.first.first);
                    return vm != stored.second.record.vms.end() && vm->second.operation == item.first.second;
                });
        });
    }
    const maintenance_view view = make_view(entry, stale);
    std::set<vm_id> down;
    for (const auto& [id, vm] : vms_) {
        if (vm.state != power_state::up) {
            down.insert(id);
        }
    }
    for (maintenance_action& action : plan_pool_actions(view, pool)) {
        if (guard_ == disabled_guard::departure_evidence && std::holds_alternative<write_record>(action)) {
            // The forged departures must not be written to the store.
            write_record& change = std::get<write_record>(action);
            const pool_record& read = view.pools.at(pool).record;
            const pool_record& real = store_history_.back()->at(pool).record;
            std::erase_if(change.record.departures, [&](const auto& item) {
                return !real.departures.contains(item.first) && read.departures.contains(item.first);
            });
        }
        entry.pending.push_back({std::move(action), down});
    }
    ++entry.sequence;
}

void fleet_schedule::execute(entry_vm& entry) {
    if (entry.pending.empty()) {
        return;
    }
    const pending_action next = std::move(entry.pending.front());
    entry.pending.pop_front();
    if (const auto* change = std::get_if<write_record>(&next.action)) {
        // The result of the write is not used, as if its response were lost; the writer decides again from
        // the record.
        write(*change, next.down_when_decided);
    } else if (const auto* call = std::get_if<reboot_vm>(&next.action)) {
        reboot(*call);
        if (random_percent(20)) {
            reboot(*call);
        }
    }
}

}  // namespace masticpass
