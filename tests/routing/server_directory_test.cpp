#include "routing/server_directory.h"

#include <doctest/doctest.h>

#include "routing/peer_directory.h"

namespace masticpass {

namespace {

vm_listing listing(const char* boot, vm_state state) {
    return {.index = 1,
            .vms = {{.vm = vm_id("v1"),
                     .zone = zone_name("z"),
                     .rack = {},
                     .address = "127.0.0.1:1",
                     .boot = boot_id(boot),
                     .pool = {},
                     .state = state}}};
}

heartbeat beat(const char* entry, const char* zone, int free_slots, int queued = 0) {
    heartbeat result;
    result.entry = entry_id(entry);
    result.incarnation = incarnation_id(std::string("i-") + entry);
    result.region = region_name("r");
    result.zone = zone_name(zone);
    result.services = {{service_name("s"), free_slots, queued, 0}};
    return result;
}

std::string chosen(peer_directory& peers) {
    const auto target = peers.choose(service_name("s"));
    return target ? target->entry.value() : "";
}

}  // namespace

// Guards against new work for a leaving server while the VM list, which lags behind, still reports it as
// live.
TEST_CASE("a leaving server remains leaving until its next boot, regardless of the VM list") {
    server_directory directory;
    const vm_id vm("v1");
    const auto accepts = [&] { return directory.find(vm)->accepts_work(); };
    directory.update(listing("b1", vm_state::live));
    CHECK(accepts());
    directory.mark_leaving(vm, boot_id("b0"));
    CHECK(accepts());
    directory.mark_leaving(vm, boot_id("b1"));
    directory.update(listing("b1", vm_state::live));
    CHECK_FALSE(accepts());
    directory.update({.index = 2, .vms = {}});
    CHECK_FALSE(accepts());
    directory.update(listing("b2", vm_state::live));
    CHECK(accepts());
    directory.set_ejected({vm});
    CHECK_FALSE(accepts());
    directory.update(listing("b2", vm_state::terminated));
    CHECK_FALSE(directory.find(vm).has_value());
    CHECK(directory.addresses().empty());
}

// Guards against forwarding a burst of requests to one peer, and against forwarding requests to peers that
// cannot take them.
TEST_CASE("the nearest peer with a free slot is chosen, each reported slot once") {
    peer_directory peers({entry_id("e1"), region_name("r"), zone_name("z")}, {});
    peers.update(beat("far", "y", 5));
    peers.update(beat("near", "z", 1));
    peers.update(beat("nearer", "z", 2));
    peers.update(beat("busy", "z", 9, 1));
    heartbeat stopping = beat("stopping", "z", 9);
    stopping.stopping = true;
    peers.update(stopping);
    CHECK(chosen(peers) == "nearer");
    CHECK(chosen(peers) != "far");
    CHECK(chosen(peers) != "far");
    CHECK(chosen(peers) == "far");
    peers.clear_free_slots(entry_id("far"));
    CHECK(chosen(peers).empty());
    CHECK(peers.find(incarnation_id("i-far"))->entry == entry_id("far"));
    CHECK_FALSE(peers.find(incarnation_id("i-other")).has_value());
}

}  // namespace masticpass
