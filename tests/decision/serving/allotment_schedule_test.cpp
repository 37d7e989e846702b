#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include "decision/serving/slot_allotment.h"

namespace masticpass {
namespace {

// Faults injected into the callers of slot_allotment; each must violate a limit in some schedule.
enum class injected_fault { none, acknowledges_unconditionally, treats_silence_as_termination };

struct entry_vm {
    incarnation_id name;
    slot_allotment allotment;
    // Requests and connections on each instance, which only this test counts.
    std::vector<int> requests;
    std::vector<int> connections;
    bool frozen = false;
    bool stopping = false;
};

// A zone whose entry VMs join, stop, freeze, resume and die while records and acknowledgements are late, lost
// or repeated.
class zone_simulation {
public:
    zone_simulation(std::uint64_t seed, injected_fault fault) : random_(seed), fault_(fault) { join(); }

    // The first violated limit; empty if there is none.
    std::string run(int steps) {
        for (int step = 0; step < steps; ++step) {
            act();
            for (std::size_t instance = 0; instance < instances_.size(); ++instance) {
                int requests = 0;
                int connections = 0;
                for (const auto& entry : entries_) {
                    requests += entry->requests[instance];
                    connections += entry->connections[instance];
                }
                if (requests > slots_per_instance ||
                    connections > slots_per_instance * connections_per_slot) {
                    return absl::StrCat("step ", step, ": ", requests, " requests, ", connections,
                                        " connections");
                }
            }
        }
        return all_slots_become_usable()
                   ? ""
                   : "slots stay unused after all entry VMs have acknowledged the last epoch";
    }

private:
    int number(int below) { return boost::random::uniform_int_distribution<>(0, below - 1)(random_); }
    entry_vm& any_entry() {
        return *entries_[static_cast<std::size_t>(number(static_cast<int>(entries_.size())))];
    }

    void join() {
        const incarnation_id name(absl::StrCat("entry.", joined_++));
        const auto next = with_member(records_.back(), entry_id(name.value()), name);
        if (!next.has_value()) {
            return;
        }
        records_.push_back(*next);
        entries_.push_back(std::make_unique<entry_vm>(
            entry_vm{name, slot_allotment(name), std::vector<int>(2, 0), std::vector<int>(2, 0)}));
        entries_.back()->allotment.apply(*next);
    }

    void act() {
        const int choice = number(100);
        if (choice < 3) {
            join();
        } else if (choice < 5 && entries_.size() > 1) {
            kill(number(static_cast<int>(entries_.size())));
        } else if (choice < 8) {
            any_entry().frozen = !any_entry().frozen;
        } else if (choice < 10) {
            any_entry().stopping = true;
        } else if (entry_vm& entry = any_entry(); !entry.frozen) {
            step(entry, choice);
        }
    }

    void step(entry_vm& entry, int choice) {
        const auto instance = static_cast<std::size_t>(number(2));
        if (choice < 40 && !entry.stopping) {
            entry.requests[instance] += entry.allotment.acquire_slot(instances_[instance]) ? 1 : 0;
        } else if (choice < 50 && !entry.stopping) {
            while (entry.connections[instance] < 64 &&
                   entry.allotment.acquire_connection(instances_[instance])) {
                ++entry.connections[instance];
            }
        } else if (choice < 65 && entry.requests[instance] > 0) {
            --entry.requests[instance];
            entry.allotment.release_slot(instances_[instance]);
        } else if (choice < 70) {
            close_surplus(entry, instance);
        } else if (choice < 80) {
            entry.allotment.apply(records_[records_.size() - 1 -
                                           static_cast<std::size_t>(
                                               number(std::min<int>(3, static_cast<int>(records_.size()))))]);
        } else if (choice < 88) {
            announce(entry);
        } else if (!sent_.empty()) {
            const auto& [sender, message] =
                sent_[static_cast<std::size_t>(number(static_cast<int>(sent_.size())))];
            if (sender != entry.name) {
                entry.allotment.record_acknowledgement(sender, message);
            }
        }
        if (fault_ == injected_fault::treats_silence_as_termination && number(20) == 0 &&
            any_entry().frozen) {
            for (const auto& other : entries_) {
                if (other->frozen) {
                    entry.allotment.mark_terminated(other->name);
                }
            }
        }
        stop_if_idle(entry);
    }

    void close_surplus(entry_vm& entry, std::size_t instance) {
        for (int count = entry.allotment.excess_connections(instances_[instance]); count > 0; --count) {
            --entry.connections[instance];
            entry.allotment.release_connection(instances_[instance]);
        }
    }

    void announce(entry_vm& entry) {
        allotment_acknowledgement message = entry.allotment.acknowledgement();
        if (fault_ == injected_fault::acknowledges_unconditionally) {
            message.pending_instances.clear();
        }
        sent_.emplace_back(entry.name, std::move(message));
        if (sent_.size() > 20) {
            sent_.pop_front();
        }
    }

    // A stopping entry VM removes itself after its requests and connections have ended.
    void stop_if_idle(entry_vm& entry) {
        if (!entry.stopping || entries_.size() == 1 || entry.requests[0] + entry.requests[1] > 0) {
            return;
        }
        records_.push_back(without_member(records_.back(), entry.name));
        std::erase_if(entries_, [&](const auto& each) { return each.get() == &entry; });
    }

    void kill(int index) {
        const incarnation_id name = entries_[static_cast<std::size_t>(index)]->name;
        entries_.erase(entries_.begin() + index);
        if (number(2) == 0) {
            any_entry().allotment.mark_terminated(name);
        }
        records_.push_back(without_member(records_.back(), name));
    }

    // After all requests ended and all messages arrived, every slot is usable again.
    bool all_slots_become_usable() {
        for (const auto& entry : entries_) {
            entry->allotment.apply(records_.back());
            for (std::size_t instance = 0; instance < 2; ++instance) {
                for (; entry->requests[instance] > 0; --entry->requests[instance]) {
                    entry->allotment.release_slot(instances_[instance]);
                }
                close_surplus(*entry, instance);
            }
        }
        for (const auto& sender : entries_) {
            for (const auto& receiver : entries_) {
                if (sender != receiver) {
                    receiver->allotment.record_acknowledgement(sender->name,
                                                               sender->allotment.acknowledgement());
                }
            }
        }
        int usable = 0;
        for (const auto& entry : entries_) {
            usable += entry->allotment.usable_slots(instances_[0]);
        }
        return usable == slots_per_instance;
    }

    boost::random::mt19937_64 random_;
    injected_fault fault_;
    std::vector<vm_id> instances_ = {vm_id("vm-1"), vm_id("vm-2")};
    std::vector<allotment_record> records_ = {allotment_record{}};
    std::vector<std::unique_ptr<entry_vm>> entries_;
    std::deque<std::pair<incarnation_id, allotment_acknowledgement>> sent_;
    int joined_ = 0;
};

constexpr std::uint64_t schedules = 10'000;
constexpr int steps = 400;

bool is_caught(injected_fault fault) {
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        if (!zone_simulation(seed, fault).run(steps).empty()) {
            return true;
        }
    }
    return false;
}

}  // namespace

// Guards against more requests or connections on an instance than it has slots for, under any interleaving.
TEST_CASE("random allotment schedules keep the limits of each instance") {
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const std::string violation = zone_simulation(seed, injected_fault::none).run(steps);
        CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    }
}

// Guards against a schedule test that passes whatever the code does.
TEST_CASE("random allotment schedules detect injected faults") {
    CHECK(is_caught(injected_fault::acknowledges_unconditionally));
    CHECK(is_caught(injected_fault::treats_silence_as_termination));
}

}  // namespace masticpass
