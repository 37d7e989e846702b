#include "fleet_schedule.h"

#include <algorithm>
#include <utility>

#include "decision/maintenance/move_step.h"

namespace masticpass {

namespace {

constexpr int random_steps = 220;
// How many writes and how many steps a stale read of the store and of the VM list lags behind.
constexpr int store_lag = 6;
constexpr int list_lag = 20;
// A step is one second; probes must have failed for 10 s before a VM counts as failed.
constexpr int probe_failure_steps = 10;

boot_id boot_name(int number) {
    return boot_id("b" + std::to_string(number));
}

int boot_number(const boot_id& boot) {
    return boot.empty() ? 0 : std::stoi(boot.value().substr(1));
}

bool is_in_size(const pool_vm& vm) {
    return vm.phase != vm_phase::incoming && !vm.joining;
}

}  // namespace

fleet_schedule::fleet_schedule(std::uint64_t seed, removed_guard guard) : random_(seed), guard_(guard) {
    create_fleet();
}

void fleet_schedule::create_fleet() {
    auto records = std::make_shared<record_map>();
    const int pools = 2 + pick(2);
    for (int pool = 0; pool < pools; ++pool) {
        const pool_name name("p" + std::to_string(pool));
        pool_record record;
        record.pool = name;
        const int size = 3 + pick(3);
        for (int index = 0; index < size; ++index) {
            const vm_id id(name.value() + "v" + std::to_string(index));
            true_vm vm;
            vm.zone = zone_name("z" + std::to_string(index % 2));
            vm.rack = rack_name("z" + std::to_string(index % 2) + "r" + std::to_string(pick(2)));
            vm.role = name;
            vms_[id] = vm;
            pool_vm& entry = record.vms[id];
            entry.zone = vm.zone;
            entry.rack = vm.rack;
            entry.maintained_at = now_ - absl::Hours(chance(20) ? 24 * 40 : 24);
        }
        pool_limits& limits = limits_[name];
        limits.budget.max_unavailable = 1 + pick(3);
        const auto limit = [&]() { return chance(30) ? std::optional<int>(1 + pick(2)) : std::nullopt; };
        limits.budget.max_unavailable_per_zone = limit();
        limits.budget.max_unavailable_per_rack = limit();
        limits.budget.max_zones_unavailable = limit();
        limits.budget.max_racks_unavailable = limit();
        limits.minimum_vms = size - 1;
        (*records)[name] = {++revision_, record};
        if (pool < 2) {
            waves_.push_back({wave_name("w" + std::to_string(pool)), {name}, wave_state::running});
        }
    }
    stores_.push_back(std::move(records));
    for (int index = 0; index < 4; ++index) {
        entry_vm entry;
        entry.zone = zone_name("z" + std::to_string(index % 2));
        entries_.push_back(entry);
        replace_entry(entries_.back());
    }
    list_vms();
}

std::string fleet_schedule::run() {
    while (step_ < random_steps && violation_.empty()) {
        random_step();
    }
    if (violation_.empty() && guard_ == removed_guard::none && !recover_all()) {
        violate("a wave does not end: " + wave_state_text());
    }
    return violation_;
}

void fleet_schedule::random_step() {
    advance();
    if (chance(15)) {
        fail_something();
    }
    if (chance(5)) {
        change_operations();
    }
    for (entry_vm& entry : entries_) {
        if (entry.paused_until > step_) {
            continue;
        }
        if (chance(60)) {
            serve(entry);
        }
        if (chance(20) && entry.pending.size() < 4) {
            const auto pool = std::next(limits_.begin(), pick(static_cast<int>(limits_.size())));
            decide(entry, pool->first, chance(50));
        }
        if (chance(50)) {
            execute(entry);
        }
    }
}

// After the failures stop, every wave must end: by itself, or after VMs that never return are replaced.
bool fleet_schedule::recover_all() {
    store_down_ = false;
    requests_.clear();
    for (declared_wave& wave : waves_) {
        wave.state = wave.state == wave_state::paused ? wave_state::running : wave.state;
    }
    for (int round = 0; round < 400 && violation_.empty(); ++round) {
        advance();
        advance();
        if (round == 60) {
            now_ += never_returned_after + absl::Minutes(1);
        }
        if (round >= 100) {
            for (auto& [id, vm] : std::map<vm_id, true_vm>(vms_)) {
                if (vm.state == power::down && vm.returns_at < 0) {
                    replace_terminated(id, vms_.at(id));
                }
            }
        }
        for (entry_vm& entry : entries_) {
            entry.paused_until = 0;
            serve(entry);
            while (!entry.pending.empty()) {
                execute(entry);
            }
        }
        auto pool = limits_.begin();
        for (std::size_t index = 0; index < limits_.size(); ++index, ++pool) {
            decide(entries_.at(index % entries_.size()), pool->first, false);
        }
        if (waves_ended()) {
            return true;
        }
    }
    return !violation_.empty();
}

void fleet_schedule::advance() {
    ++step_;
    now_ += absl::Seconds(1);
    for (auto& [id, vm] : vms_) {
        if (vm.state == power::down && vm.returns_at >= 0 && vm.returns_at <= step_) {
            vm.state = power::up;
            vm.boot += vm.keeps_boot ? 0 : 1;
            vm.leaving = false;
            vm.keeps_boot = false;
            list_changed_ = true;
        }
    }
    list_vms();
}

void fleet_schedule::list_vms() {
    if (!list_changed_) {
        lists_.push_back(lists_.back());
        return;
    }
    auto list = std::make_shared<list_map>();
    for (const auto& [id, vm] : vms_) {
        vm_observation& seen = (*list)[id];
        seen.zone = vm.zone;
        seen.rack = vm.rack;
        seen.boot = boot_name(vm.boot);
        seen.role = vm.role;
        seen.list_index = step_;
        seen.state = vm.state == power::terminated ? vm_list_state::terminated
                     : vm.leaving                  ? vm_list_state::leaving
                                                   : vm_list_state::live;
    }
    lists_.push_back(std::move(list));
    list_changed_ = false;
}

void fleet_schedule::change_operations() {
    declared_wave& wave = waves_.at(static_cast<std::size_t>(pick(static_cast<int>(waves_.size()))));
    if (chance(5)) {
        wave.state = wave_state::cancelled;
    } else if (wave.state != wave_state::cancelled) {
        wave.state = chance(70) ? wave_state::running : wave_state::paused;
    }
    requests_.clear();
    const auto vm = std::next(vms_.begin(), pick(static_cast<int>(vms_.size())));
    const auto target = std::next(limits_.begin(), pick(static_cast<int>(limits_.size())));
    for (const auto& [source, limits] : limits_) {
        requests_.push_back({vm->first, source, target->first});
    }
}

void fleet_schedule::fail_something() {
    if (chance(25)) {
        store_down_ = !store_down_;
        return;
    }
    entry_vm& entry = entries_.at(static_cast<std::size_t>(pick(static_cast<int>(entries_.size()))));
    if (chance(20)) {
        entry.paused_until = step_ + pick(80);
        return;
    }
    if (chance(15)) {
        replace_entry(entry);
        return;
    }
    const auto item = std::next(vms_.begin(), pick(static_cast<int>(vms_.size())));
    true_vm& vm = item->second;
    if (vm.state == power::up) {
        vm.state = power::down;
        vm.down_since = step_;
        vm.keeps_boot = chance(20);
        vm.returns_at = chance(10) ? -1 : step_ + 2 + pick(30);
        for (entry_vm& other : entries_) {
            other.in_flight.erase(item->first);
        }
    } else if (vm.state == power::down && chance(10)) {
        replace_terminated(item->first, vm);
    }
}

void fleet_schedule::replace_entry(entry_vm& entry) {
    gone_.insert(entry.incarnation);
    entry.incarnation = incarnation_id("i" + std::to_string(++incarnations_));
    entry.sequence = 1;
    entry.paused_until = 0;
    entry.in_flight.clear();
    entry.pending.clear();
    // A new entry VM joins the allotment first and reads the pool records afterwards.
    senders_[entry.zone].insert(entry.incarnation);
    entry.known = store_down_ ? record_map() : *stores_.back();
}

void fleet_schedule::replace_terminated(const vm_id& id, true_vm& vm) {
    vm.state = power::terminated;
    list_changed_ = true;
    true_vm fresh;
    fresh.zone = vm.zone;
    fresh.rack = vm.rack;
    // The replacement serves the pool that owned the VM.
    fresh.role = owner_of(id, *stores_.back()).value_or(vm.role);
    fresh.state = power::down;
    fresh.down_since = step_;
    fresh.returns_at = step_ + 5;
    vms_[vm_id("r" + std::to_string(++replacements_))] = fresh;
}

// Takes the entry VM's part in serving: it refreshes what it knows of the records, acknowledges drained VMs,
// and starts and finishes requests.
void fleet_schedule::serve(entry_vm& entry) {
    if (!store_down_) {
        // The first read after joining the allotment must not be stale: nobody waits for the acknowledgement
        // of an entry VM that joined after the action began.
        const int lag = entry.known.empty() ? 0 : pick(std::min(store_lag, static_cast<int>(stores_.size())));
        const record_map& read = *stores_.at(stores_.size() - 1 - static_cast<std::size_t>(lag));
        for (const auto& [pool, stored] : read) {
            if (stored.revision > entry.known[pool].revision) {
                entry.known[pool] = stored;
            }
        }
    }
    for (auto item = entry.in_flight.begin(); item != entry.in_flight.end();) {
        item = chance(40) ? entry.in_flight.erase(item) : std::next(item);
    }
    acknowledge(entry);
    for (const auto& [pool, stored] : entry.known) {
        for (const auto& [id, vm] : stored.record.vms) {
            if (vm.phase == vm_phase::serving && vm.zone == entry.zone && vms_.at(id).state == power::up &&
                vms_.at(id).role == pool && chance(20)) {
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
                acknowledged_ever_[id].insert(entry.incarnation);
            }
        }
    }
}

maintenance_view fleet_schedule::view_of(const entry_vm& entry, bool stale) {
    maintenance_view view;
    view.self = entry.incarnation;
    view.next_sequence = entry.sequence;
    view.now = now_;
    view.limits = limits_;
    view.waves = waves_;
    view.moves = requests_;
    const auto read = [&](const auto& items, int lag) {
        const auto back = stale ? static_cast<std::size_t>(pick(lag)) : 0;
        return *items.at(items.size() - 1 - std::min(items.size() - 1, back));
    };
    view.pools = read(stores_, store_lag);
    view.vms = read(lists_, list_lag);
    for (auto& [id, seen] : view.vms) {
        const true_vm& vm = vms_.at(id);
        const bool up = vm.state == power::up;
        const bool blind = guard_ == removed_guard::observed_failures;
        seen.answers = up || blind;
        seen.probes_failed = !up && !blind && step_ - vm.down_since >= probe_failure_steps;
        if (guard_ == removed_guard::list_order) {
            seen.list_index = step_;
        }
    }
    view.drain.senders = senders_;
    view.drain.proved_gone = gone_;
    view.drain.acknowledged = acknowledged_;
    if (guard_ == removed_guard::drain_operation) {
        for (const auto& [pool, stored] : view.pools) {
            for (const auto& [id, vm] : stored.record.vms) {
                view.drain.acknowledged[{id, vm.operation}] = acknowledged_ever_[id];
            }
        }
    }
    if (guard_ == removed_guard::departure_evidence) {
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
        // Acknowledgements of operations that are over only cost time.
        std::erase_if(acknowledged_, [&](const auto& item) {
            return std::none_of(stores_.back()->begin(), stores_.back()->end(), [&](const auto& stored) {
                const auto vm = stored.second.record.vms.find(item.first.first);
                return vm != stored.second.record.vms.end() && vm->second.operation == item.first.second;
            });
        });
    }
    const maintenance_view view = view_of(entry, stale);
    std::set<vm_id> down;
    for (const auto& [id, vm] : vms_) {
        if (vm.state != power::up) {
            down.insert(id);
        }
    }
    for (maintenance_action& action : next_pool_steps(view, pool)) {
        if (guard_ == removed_guard::departure_evidence && std::holds_alternative<write_record>(action)) {
            // Forged departures must not reach the store.
            write_record& change = std::get<write_record>(action);
            const pool_record& read = view.pools.at(pool).record;
            const pool_record& real = stores_.back()->at(pool).record;
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
        // A response lost after the write leaves the writer without a result; it decides again from the
        // record.
        write(*change, next.down_when_decided);
    } else if (const auto* call = std::get_if<reboot_vm>(&next.action)) {
        reboot(*call);
        if (chance(20)) {
            reboot(*call);
        }
    }
}

void fleet_schedule::write(const write_record& action, const std::set<vm_id>& down) {
    const stored_pool_record& present = stores_.back()->at(action.pool);
    if (store_down_ ||
        (present.revision != action.expected_revision && guard_ != removed_guard::store_comparison)) {
        return;
    }
    const auto parsed = parse_pool_record(serialize(action.record));
    if (!parsed) {
        violate("a record does not parse: " + parsed.error());
        return;
    }
    const pool_record before = present.record;
    auto records = std::make_shared<record_map>(*stores_.back());
    (*records)[action.pool] = {++revision_, *parsed};
    stores_.push_back(std::move(records));
    ++writes_;
    check_write(before, *parsed, down);
    check_owners();
}

void fleet_schedule::reboot(const reboot_vm& action) {
    true_vm& vm = vms_.at(action.vm);
    const bool same_boot = boot_name(vm.boot) == action.expected_boot;
    if (vm.state != power::up || (!same_boot && guard_ != removed_guard::reboot_condition)) {
        return;
    }
    const auto& records = *stores_.back();
    const auto& listed = records.at(action.pool).record.vms;
    const auto entry = listed.find(action.vm);
    if (entry == listed.end() || entry->second.phase != vm_phase::acting) {
        violate("VM " + action.vm.value() + " reboots although pool " + action.pool.value() +
                " does not act");
        return;
    }
    for (const entry_vm& sender : entries_) {
        if (sender.in_flight.contains(action.vm)) {
            violate("the reboot of VM " + action.vm.value() + " interrupts a request");
        }
    }
    ++reboots_;
    vm.state = power::down;
    vm.leaving = true;
    vm.down_since = step_;
    vm.role = action.pool;
    vm.returns_at = chance(4) ? -1 : step_ + 3 + pick(10);
    list_changed_ = true;
    std::set<vm_id> acting_and_down;
    for (const auto& [id, other] : listed) {
        if (other.phase == vm_phase::acting && !other.joining && vms_.at(id).state == power::down &&
            vms_.at(id).leaving) {
            acting_and_down.insert(id);
        }
    }
    // A VM that had failed before is out of service anyway, so the budget does not bound its restart, which
    // belongs to no wave. VMs that are merely due belong to none either; check_write() covers them.
    if (!entry->second.joining && !entry->second.wave.empty()) {
        check_counts(records.at(action.pool).record, acting_and_down, 0,
                     "at the reboot of " + action.vm.value());
    }
}

void fleet_schedule::check_write(const pool_record& before, const pool_record& after,
                                 const std::set<vm_id>& down) {
    std::set<vm_id> unavailable;
    bool begins = false;
    for (const auto& [id, vm] : after.vms) {
        if (is_in_size(vm) && (vm.phase != vm_phase::serving || down.contains(id))) {
            unavailable.insert(id);
        }
        const auto old = before.vms.find(id);
        if (old == before.vms.end()) {
            continue;
        }
        const vm_phase from = old->second.phase;
        begins = begins ||
                 (from == vm_phase::reserved && vm.phase == vm_phase::acting && old->second.old_boot.empty());
        if (from == vm_phase::acting && vm.phase == vm_phase::serving &&
            (vms_.at(id).boot <= boot_number(old->second.old_boot) || vms_.at(id).role != after.pool)) {
            violate("VM " + id.value() + " is released without a newer boot");
        }
        if (from == vm_phase::failed && vm.phase == vm_phase::serving &&
            vms_.at(id).boot <= boot_number(old->second.old_boot)) {
            violate("VM " + id.value() + " recovers without a newer boot");
        }
        moves_ += from == vm_phase::incoming && vm.phase == vm_phase::acting ? 1 : 0;
    }
    if (begins) {
        const int size = static_cast<int>(std::count_if(
            after.vms.begin(), after.vms.end(), [](const auto& item) { return is_in_size(item.second); }));
        check_counts(after, unavailable, std::max(0, limits_.at(after.pool).minimum_vms - size),
                     "when an action begins");
    }
}

void fleet_schedule::check_counts(const pool_record& record, const std::set<vm_id>& unavailable, int missing,
                                  const std::string& event) {
    const availability_budget& budget = limits_.at(record.pool).budget;
    std::map<zone_name, int> zones;
    std::map<rack_name, int> racks;
    for (const vm_id& id : unavailable) {
        ++zones[record.vms.at(id).zone];
        ++racks[record.vms.at(id).rack];
    }
    bool holds = static_cast<int>(unavailable.size()) + missing <= budget.max_unavailable &&
                 static_cast<int>(zones.size()) <= budget.max_zones_unavailable.value_or(100) &&
                 static_cast<int>(racks.size()) <= budget.max_racks_unavailable.value_or(100);
    for (const auto& [zone, count] : zones) {
        holds = holds && count <= budget.max_unavailable_per_zone.value_or(100);
    }
    for (const auto& [rack, count] : racks) {
        holds = holds && count <= budget.max_unavailable_per_rack.value_or(100);
    }
    if (!holds) {
        violate("budget of pool " + record.pool.value() + " exceeded " + event);
    }
}

void fleet_schedule::check_owners() {
    const record_map& records = *stores_.back();
    std::map<vm_id, int> owners;
    for (const auto& [pool, stored] : records) {
        for (const auto& [id, vm] : stored.record.vms) {
            bool owns = vm.phase != vm_phase::incoming || vm.other_pool.empty();
            if (!owns) {
                const auto& departures = records.at(vm.other_pool).record.departures;
                const auto gone = departures.find(id);
                owns = gone != departures.end() && gone->second.operation == vm.operation;
            }
            owners[id] += owns ? 1 : 0;
        }
    }
    for (const auto& [id, vm] : vms_) {
        const bool replacement = id.value().front() == 'r';
        if (owners[id] > 1 || (owners[id] == 0 && !replacement && vm.state != power::terminated)) {
            violate("VM " + id.value() + " has " + std::to_string(owners[id]) + " owners");
        }
    }
}

void fleet_schedule::violate(const std::string& text) {
    if (violation_.empty()) {
        violation_ = "step " + std::to_string(step_) + ": " + text;
    }
}

bool fleet_schedule::waves_ended() const {
    return std::all_of(waves_.begin(), waves_.end(), [&](const declared_wave& wave) {
        return std::all_of(wave.pools.begin(), wave.pools.end(), [&](const pool_name& pool) {
            const auto& progress = stores_.back()->at(pool).record.waves;
            const auto found = progress.find(wave.name);
            const bool never_started = found == progress.end() && wave.state == wave_state::cancelled;
            return never_started || (found != progress.end() && found->second.ended);
        });
    });
}

std::string fleet_schedule::wave_state_text() const {
    std::string text;
    for (const auto& [pool, stored] : *stores_.back()) {
        text += serialize(stored.record) + "\n";
    }
    return text;
}

}  // namespace masticpass
