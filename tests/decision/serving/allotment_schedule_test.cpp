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
    incarnation_id incarnation;
    slot_allotment allotment;
    // Requests and connections on each instance, counted independently of the allotment.
    std::vector<int> requests;
    std::vector<int> connections;
    bool frozen = false;
    bool stopping = false;
};

// Simulates a zone whose entry VMs join, stop, freeze, resume and are killed while records and
// acknowledgements are delayed, lost or repeated.
class zone_simulation {
public:
    zone_simulation(std::uint64_t seed, injected_fault fault) : random_(seed), fault_(fault) { join(); }

    // Returns the first violated limit; empty if there is none.
    std::string run(int steps) {
        for (int step = 0; step < steps; ++step) {
            perform_random_action();
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
    int random_below(int below) { return boost::random::uniform_int_distribution<>(0, below - 1)(random_); }
    entry_vm& random_entry() {
        return *entries_[static_cast<std::size_t>(random_below(static_cast<int>(entries_.size())))];
    }

    void join() {
        const incarnation_id incarnation(absl::StrCat("entry.", joined_count_++));
        const auto next = with_member(records_.back(), entry_id(incarnation.value()), incarnation);
        if (!next.has_value()) {
            return;
        }
        records_.push_back(*next);
        entries_.push_back(std::make_unique<entry_vm>(entry_vm{
            incarnation, slot_allotment(incarnation), std::vector<int>(2, 0), std::vector<int>(2, 0)}));
        entries_.back()->allotment.apply(*next);
    }

    void perform_random_action() {
        const int choice = random_below(100);
        if (choice < 3) {
            join();
        } else if (choice < 5 && entries_.size() > 1) {
            terminate_entry(random_below(static_cast<int>(entries_.size())));
        } else if (choice < 8) {
            random_entry().frozen = !random_entry().frozen;
        } else if (choice < 10) {
            random_entry().stopping = true;
        } else if (entry_vm& entry = random_entry(); !entry.frozen) {
            perform_entry_action(entry, choice);
        }
    }

    void perform_entry_action(entry_vm& entry, int choice) {
        const auto instance = static_cast<std::size_t>(random_below(2));
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
            close_excess_connections(entry, instance);
        } else if (choice < 80) {
            entry.allotment.apply(records_[records_.size() - 1 -
                                           static_cast<std::size_t>(random_below(
                                               std::min<int>(3, static_cast<int>(records_.size()))))]);
        } else if (choice < 88) {
            send_acknowledgement(entry);
        } else if (!sent_acknowledgements_.empty()) {
            const auto& [sender, acknowledgement] = sent_acknowledgements_[static_cast<std::size_t>(
                random_below(static_cast<int>(sent_acknowledgements_.size())))];
            if (sender != entry.incarnation) {
                entry.allotment.record_acknowledgement(sender, acknowledgement);
            }
        }
        if (fault_ == injected_fault::treats_silence_as_termination && random_below(20) == 0 &&
            random_entry().frozen) {
            for (const auto& other : entries_) {
                if (other->frozen) {
                    entry.allotment.mark_terminated(other->incarnation);
                }
            }
        }
        stop_if_idle(entry);
    }

    void close_excess_connections(entry_vm& entry, std::size_t instance) {
        for (int count = entry.allotment.excess_connections(instances_[instance]); count > 0; --count) {
            --entry.connections[instance];
            entry.allotment.release_connection(instances_[instance]);
        }
    }

    void send_acknowledgement(entry_vm& entry) {
        allotment_acknowledgement acknowledgement = entry.allotment.acknowledgement();
        if (fault_ == injected_fault::acknowledges_unconditionally) {
            acknowledgement.pending_instances.clear();
        }
        sent_acknowledgements_.emplace_back(entry.incarnation, std::move(acknowledgement));
        if (sent_acknowledgements_.size() > 20) {
            sent_acknowledgements_.pop_front();
        }
    }

    // A stopping entry VM removes itself after its requests have ended.
    void stop_if_idle(entry_vm& entry) {
        if (!entry.stopping || entries_.size() == 1 || entry.requests[0] + entry.requests[1] > 0) {
            return;
        }
        records_.push_back(without_member(records_.back(), entry.incarnation));
        std::erase_if(entries_, [&](const auto& each) { return each.get() == &entry; });
    }

    void terminate_entry(int index) {
        const incarnation_id incarnation = entries_[static_cast<std::size_t>(index)]->incarnation;
        entries_.erase(entries_.begin() + index);
        if (random_below(2) == 0) {
            random_entry().allotment.mark_terminated(incarnation);
        }
        records_.push_back(without_member(records_.back(), incarnation));
    }

    // Ends all requests and delivers all acknowledgements, after which every slot must be usable again.
    bool all_slots_become_usable() {
        for (const auto& entry : entries_) {
            entry->allotment.apply(records_.back());
            for (std::size_t instance = 0; instance < 2; ++instance) {
                for (; entry->requests[instance] > 0; --entry->requests[instance]) {
                    entry->allotment.release_slot(instances_[instance]);
                }
                close_excess_connections(*entry, instance);
            }
        }
        for (const auto& sender : entries_) {
            for (const auto& receiver : entries_) {
                if (sender != receiver) {
                    receiver->allotment.record_acknowledgement(sender->incarnation,
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
    std::deque<std::pair<incarnation_id, allotment_acknowledgement>> sent_acknowledgements_;
    int joined_count_ = 0;
};

constexpr std::uint64_t schedule_count = 10'000;
constexpr int steps_per_schedule = 400;

bool is_detected(injected_fault fault) {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        if (!zone_simulation(seed, fault).run(steps_per_schedule).empty()) {
            return true;
        }
    }
    return false;
}

}  // namespace

// Guards against more requests or connections on an instance than its slots allow, under any interleaving.
TEST_CASE("random allotment schedules keep the limits of each instance") {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        const std::string violation = zone_simulation(seed, injected_fault::none).run(steps_per_schedule);
        CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    }
}

// Guards against a schedule test that would not detect faults.
TEST_CASE("random allotment schedules detect injected faults") {
    CHECK(is_detected(injected_fault::acknowledges_unconditionally));
    CHECK(is_detected(injected_fault::treats_silence_as_termination));
}

}  // namespace masticpass
