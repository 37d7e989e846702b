#include "application/entry_vm.h"

#include <iostream>
#include <utility>

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include "application/entry_components.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// The load balancer needs this long to detect that the health check fails.
constexpr absl::Duration balancer_detection_time = absl::Milliseconds(500);
// Maximum time that a planned stop waits for requests in flight.
constexpr absl::Duration in_flight_timeout = absl::Minutes(10);
constexpr absl::Duration allotment_leave_timeout = absl::Seconds(3);
// By default the allocator uses up to 8 arenas per CPU and keeps freed memory in each of them. With some
// hundred threads that occasionally read a VM list or a configuration, this took a third of the resident
// memory.
constexpr int maximum_malloc_arenas = 2;
// Interval at which a planned stop checks for requests in flight.
constexpr absl::Duration stop_check_interval = absl::Milliseconds(5);

}  // namespace

tl::expected<std::unique_ptr<entry_vm>, std::string> entry_vm::create(const settings& configured) {
    auto owned_components = std::make_unique<entry_components>(configured);
    entry_components& components = *owned_components;
    auto status_endpoint = status_server::create(
        configured.listen.status, [&components] { return components.health(); }, components.metrics);
    auto caller_endpoint =
        caller_server::create(configured, components.router, components.time_source, components.metrics);
    if (!status_endpoint || !caller_endpoint) {
        return tl::unexpected(status_endpoint ? caller_endpoint.error() : status_endpoint.error());
    }
    components.status_endpoint = std::move(*status_endpoint);
    components.caller_endpoint = std::move(*caller_endpoint);
    components.start_agents();
    auto peer_endpoint = peer_server::create(configured, *components.membership, components.router,
                                             components.time_source, components.metrics);
    auto operations_endpoint = operations_server::create(
        configured.listen.operations.ip, configured.listen.operations.port, *components.operations_service);
    if (!peer_endpoint || !operations_endpoint) {
        std::string error = peer_endpoint ? operations_endpoint.error() : peer_endpoint.error();
        components.stop_agents();
        return tl::unexpected(std::move(error));
    }
    components.peer_endpoint = std::move(*peer_endpoint);
    components.operations_endpoint = std::move(*operations_endpoint);
    components.status_endpoint->start();
    components.peer_endpoint->start();
    components.operations_endpoint->start();
    components.caller_endpoint->start();
    log_event(log_severity::info, "entry_started",
              {{"entry", configured.entry.id.value()},
               {"incarnation", components.self.value()},
               {"zone", configured.entry.zone.value()},
               {"version", MASTICPASS_VERSION}});
    return std::unique_ptr<entry_vm>(new entry_vm(std::move(owned_components)));
}

entry_vm::entry_vm(std::unique_ptr<entry_components> owned_components)
    : components_(std::move(owned_components)) {}

entry_vm::~entry_vm() = default;

void entry_vm::stop() {
    entry_components& components = *components_;
    log_event(log_severity::info, "entry_stopping", {{"entry", components.configured.entry.id.value()}});
    components.is_stopping = true;
    components.maintenance->stop();
    components.membership->exchange_now();
    absl::SleepFor(balancer_detection_time);
    components.router.begin_stop();
    const absl::Time deadline = absl::Now() + in_flight_timeout;
    while (components.router.open_requests() > 0 && absl::Now() < deadline) {
        absl::SleepFor(stop_check_interval);
    }
    components.hand_over_identities();
    components.operations_service->stop();
    components.caller_endpoint->stop();
    components.allotment->leave(allotment_leave_timeout);
    components.operations_endpoint->stop();
    components.peer_endpoint->stop();
    components.stop_agents();
    components.status_endpoint->stop();
    log_event(log_severity::info, "entry_stopped", {{"entry", components.configured.entry.id.value()}});
}

int run_entry_vm(const settings& configured) {
    mallopt(M_ARENA_MAX, maximum_malloc_arenas);
    // Debian builds Abseil with deadlock detection enabled, which takes a sixth of the CPU time. Tests leave
    // it enabled.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    // The signals are blocked before any thread starts, so that only this thread receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    start_logging(configured.log.level);
    auto running = entry_vm::create(configured);
    if (!running) {
        std::cerr << "masticpass: " << running.error() << "\n";
        return 1;
    }
    int received_signal = 0;
    sigwait(&signals, &received_signal);
    (*running)->stop();
    stop_logging();
    return 0;
}

}  // namespace masticpass
