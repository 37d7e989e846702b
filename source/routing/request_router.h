#ifndef MASTICPASS_ROUTING_REQUEST_ROUTER_H
#define MASTICPASS_ROUTING_REQUEST_ROUTER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "backend/backend_client.h"
#include "common/clock.h"
#include "peer/peer_client.h"
#include "routing/attempt_supervisor.h"
#include "routing/identity_registry_set.h"
#include "routing/peer_directory.h"
#include "routing/server_directory.h"
#include "routing/service_request.h"
#include "routing/service_shard.h"
#include "routing/slot_quota.h"
#include "telemetry/metrics.h"

namespace masticpass {

// A service for which requests are routed.
struct routed_service {
    service_name service;
    scheduler_options scheduler;
    bool urgent = false;
    // The servers of its pool in this zone, with the slots that this entry VM may use.
    std::vector<instance_capacity> instances;
};

// The load of one service on this entry VM.
struct routed_load {
    service_name service;
    shard_load load;
};

// The collaborators of a request router. All of them must outlive the router.
struct router_dependencies {
    incarnation_id self;
    const clock& time_source;
    backend_client& backends;
    peer_client& peers;
    peer_directory& known_peers;
    server_directory& directory;
    slot_quota& quota;
    metrics_registry& metrics;
};

// Runs the requests of callers and of other entry VMs on the calling threads: waits for a slot, runs attempts
// and retries within the retry budget. Forwards a request to another entry VM that must run it, because it
// issued the identity or took it over, or that can run it sooner.
// Thread safety: all methods may be called from any thread. The state of each service is a shard with its own
// lock.
class request_router final : public request_handler {
public:
    request_router(const router_dependencies& dependencies,
                   const identity_registry_options& identity_options);

    request_result handle(const service_request& request) override;
    tl::expected<std::vector<request_id>, refusal> issue_identities(std::size_t count) override;
    bool is_unused(const request_id& id) override;
    verdict cancel(const request_id& id, bool forwarded) override;

    // Replaces the services. Queued requests of a removed service are refused, as not run unless an earlier
    // attempt may have run them.
    void set_services(const std::vector<routed_service>& services);

    // Refuses expired requests and dispatches queued ones. To be called every few milliseconds.
    void tick();

    // Ends attempts that exceed their timeout and queries a server for the state of an overdue one. To be
    // called about every 50 ms on a thread of its own, and sooner after it has returned true, since other
    // attempts may be overdue as well. Takes up to 250 ms while an attempt is overdue.
    bool supervise() { return supervisor_.step(); }

    // Probes the ejected servers whose backoff has elapsed, and updates the ejected servers in the directory.
    // To be called about every second. Takes up to the timeout of a probe for each probed server.
    void check_ejected_servers();

    // Refuses all new requests, then the queued ones.
    void begin_stop();

    // Number of requests that have no result yet.
    int open_requests() const { return open_requests_.load(); }

    std::vector<routed_load> loads() const;

    // The identities that this entry VM may run.
    identity_registry_set& identities() { return identities_; }

private:
    struct service_entry {
        std::unique_ptr<service_shard> shard;
        bool urgent = false;
    };
    using service_table = std::map<service_name, std::shared_ptr<service_entry>>;

    request_result route_repeatable(const service_request& request);
    request_result route_non_repeatable(const service_request& request);
    request_result run_with_identity(const service_request& request, const request_identity& identity);
    // Returns the service if its requests may start now.
    tl::expected<std::shared_ptr<service_entry>, refusal> admit(const service_name& service) const;
    std::optional<verdict> cancel_locally(const request_id& id);
    verdict cancel_at_peers(const request_id& id);
    request_result forward_to_issuer(const service_request& request, const request_identity& identity);
    // The result of a request whose identity `begin` did not allow to run.
    request_result result_without_run(const identity_begin_result& begun);
    request_result run_or_forward(const service_request& request, service_entry& service);
    request_result run_locally(const service_request& request, service_entry& service);
    request_result run_attempts(const service_request& request, const request_description& description,
                                service_entry& service, dispatch work);
    tl::expected<backend_response, attempt_failure> run_attempt(const service_request& request,
                                                                service_entry& service, const dispatch& work);
    request_description describe(const service_request& request, const service_entry& service);
    std::shared_ptr<const service_table> current_services() const;
    // Refuses the queued requests of a removed service.
    static void refuse_removed(service_entry& service);

    const router_dependencies dependencies_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> open_requests_ = 0;
    std::atomic<std::uint64_t> next_local_id_ = 1;
    std::atomic<std::uint64_t> next_attempt_ = 1;
    mutable absl::Mutex services_mutex_;
    // Each change replaces the whole table, so that readers need not copy it.
    std::shared_ptr<const service_table> services_ ABSL_GUARDED_BY(services_mutex_) =
        std::make_shared<const service_table>();
    // Removed services that still have requests. A request that is queued again after a failed attempt is
    // refused.
    std::vector<std::shared_ptr<service_entry>> removed_ ABSL_GUARDED_BY(services_mutex_);
    // Whether set_services was called.
    bool is_configured_ ABSL_GUARDED_BY(services_mutex_) = false;
    identity_registry_set identities_;
    attempt_supervisor supervisor_;
};

}  // namespace masticpass

#endif
