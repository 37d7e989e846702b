#include "fleet_schedule.h"

#include <algorithm>
#include <utility>

namespace masticpass {

namespace {

constexpr int random_steps = 220;

}  // namespace

fleet_schedule::fleet_schedule(std::uint64_t seed, disabled_guard guard) : random_(seed), guard_(guard) {
    create_fleet();
}

void fleet_schedule::create_fleet() {
    auto records = std::make_shared<record_map>();
    const int pools = 2 + random_below(2);
    for (int pool = 0; pool < pools; ++pool) {
        const pool_name name("p" + std::to_string(pool));
        pool_record record;
        record.pool = name;
        const int size = 3 + random_below(3);
        for (int index = 0; index < size; ++index) {
            const vm_id id(name.value() + "v" + std::to_string(index));
            simulated_vm vm;
            vm.zone = zone_name("z" + std::to_string(index % 2));
            vm.rack = rack_name("z" + std::to_string(index % 2) + "r" + std::to_string(random_below(2)));
            vm.role = name;
            vms_[id] = vm;
            pool_vm& entry = record.vms[id];
            entry.zone = vm.zone;
            entry.rack = vm.rack;
            entry.maintained_at = now_ - absl::Hours(random_percent(20) ? 24 * 40 : 24);
        }
        pool_limits& limits = limits_[name];
        limits.budget.max_unavailable = 1 + random_below(3);
        const auto limit = [&]() {
            return random_percent(30) ? std::optional<int>(1 + random_below(2)) : std::nullopt;
        };
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
    store_history_.push_back(std::move(records));
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
    if (violation_.empty() && guard_ == disabled_guard::none && !finish_waves_without_failures()) {
        report_violation("a wave has not ended: " + wave_state_text());
    }
    return violation_;
}

void fleet_schedule::random_step() {
    advance();
    if (random_percent(15)) {
        inject_failure();
    }
    if (random_percent(5)) {
        change_operations();
    }
    for (entry_vm& entry : entries_) {
        if (entry.paused_until > step_) {
            continue;
        }
        if (random_percent(60)) {
            simulate_serving(entry);
        }
        if (random_percent(20) && entry.pending.size() < 4) {
            const auto pool = std::next(limits_.begin(), random_below(static_cast<int>(limits_.size())));
            decide(entry, pool->first, random_percent(50));
        }
        if (random_percent(50)) {
            execute(entry);
        }
    }
}

// Runs without failures. Every wave must end, some of them only after VMs that never return were replaced.
bool fleet_schedule::finish_waves_without_failures() {
    store_down_ = false;
    move_requests_.clear();
    for (declared_wave& wave : waves_) {
        wave.state = wave.state == wave_state::paused ? wave_state::running : wave.state;
    }
    for (int round = 0; round < 400 && violation_.empty(); ++round) {
        advance();
        advance();
        if (round == 60) {
            now_ += return_timeout + absl::Minutes(1);
        }
        if (round >= 100) {
            for (auto& [id, vm] : std::map<vm_id, simulated_vm>(vms_)) {
                if (vm.state == power_state::down && vm.returns_at < 0) {
                    replace_terminated(id, vms_.at(id));
                }
            }
        }
        for (entry_vm& entry : entries_) {
            entry.paused_until = 0;
            simulate_serving(entry);
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

bool fleet_schedule::waves_ended() const {
    return std::all_of(waves_.begin(), waves_.end(), [&](const declared_wave& wave) {
        return std::all_of(wave.pools.begin(), wave.pools.end(), [&](const pool_name& pool) {
            const auto& progress = store_history_.back()->at(pool).record.waves;
            const auto found = progress.find(wave.name);
            const bool never_started = found == progress.end() && wave.state == wave_state::cancelled;
            return never_started || (found != progress.end() && found->second.ended);
        });
    });
}

std::string fleet_schedule::wave_state_text() const {
    std::string text;
    for (const auto& [pool, stored] : *store_history_.back()) {
        text += serialize(stored.record) + "\n";
    }
    return text;
}

}  // namespace masticpass
