#include "application/entry_vm.h"

#include <iostream>
#include <utility>

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include "application/entry_parts.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// The balancer needs this long to see that the health address refuses.
constexpr absl::Duration balancer_notice = absl::Milliseconds(500);
// Longest wait of a planned stop for requests in flight.
constexpr absl::Duration stop_wait = absl::Minutes(10);
constexpr absl::Duration leave_timeout = absl::Seconds(3);
// The allocator's default of 8 arenas per processor keeps freed memory in each of them. With some hundred
// threads that read a VM list or a configuration now and then, this took a third of the resident memory.
constexpr int allocation_arenas = 2;
// Pause between two looks at the requests in flight during a stop.
constexpr absl::Duration stop_check_interval = absl::Milliseconds(5);

}  // namespace

tl::expected<std::unique_ptr<entry_vm>, std::string> entry_vm::create(const settings& configured) {
    auto owned = std::make_unique<entry_parts>(configured);
    entry_parts& parts = *owned;
    auto status = status_server::create(
        configured.listen.status, [&parts] { return parts.health(); }, parts.metrics);
    auto callers = caller_server::create(configured, parts.router, parts.time_source, parts.metrics);
    if (!status || !callers) {
        return tl::unexpected(status ? callers.error() : status.error());
    }
    parts.status = std::move(*status);
    parts.callers = std::move(*callers);
    parts.start_agents();
    auto peer_front =
        peer_server::create(configured, *parts.membership, parts.router, parts.time_source, parts.metrics);
    auto operators = operations_server::create(configured.listen.operations.ip,
                                               configured.listen.operations.port, *parts.operator_calls);
    if (!peer_front || !operators) {
        std::string error = peer_front ? operators.error() : peer_front.error();
        parts.stop_agents();
        return tl::unexpected(std::move(error));
    }
    parts.peer_front = std::move(*peer_front);
    parts.operators = std::move(*operators);
    parts.status->start();
    parts.peer_front->start();
    parts.operators->start();
    parts.callers->start();
    log_event(log_severity::info, "entry_started",
              {{"entry", configured.entry.id.value()},
               {"incarnation", parts.self.value()},
               {"zone", configured.entry.zone.value()},
               {"version", MASTICPASS_VERSION}});
    return std::unique_ptr<entry_vm>(new entry_vm(std::move(owned)));
}

entry_vm::entry_vm(std::unique_ptr<entry_parts> owned) : parts_(std::move(owned)) {}

entry_vm::~entry_vm() = default;

void entry_vm::stop() {
    entry_parts& parts = *parts_;
    log_event(log_severity::info, "entry_stopping", {{"entry", parts.configured.entry.id.value()}});
    parts.stopping = true;
    parts.maintenance->stop();
    parts.membership->exchange_now();
    absl::SleepFor(balancer_notice);
    parts.router.begin_stop();
    const absl::Time end = absl::Now() + stop_wait;
    while (parts.router.open_requests() > 0 && absl::Now() < end) {
        absl::SleepFor(stop_check_interval);
    }
    parts.hand_over_identities();
    parts.operator_calls->stop();
    parts.callers->stop();
    parts.allotment->leave(leave_timeout);
    parts.operators->stop();
    parts.peer_front->stop();
    parts.stop_agents();
    parts.status->stop();
    log_event(log_severity::info, "entry_stopped", {{"entry", parts.configured.entry.id.value()}});
}

int run_entry_vm(const settings& configured) {
    mallopt(M_ARENA_MAX, allocation_arenas);
    // Debian builds the library with the check on, which takes a sixth of the processor time. Tests keep it.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    // Blocked before any thread starts, so that only this thread receives them.
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
    int received = 0;
    sigwait(&signals, &received);
    (*running)->stop();
    stop_logging();
    return 0;
}

}  // namespace masticpass
