#include "routing/request_router.h"

#include <algorithm>
#include <set>
#include <utility>

namespace masticpass {

namespace {

// Counts a request as open during its lifetime.
class open_request {
public:
    explicit open_request(std::atomic<int>& count) : count_(count) { ++count_; }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;
    ~open_request() { --count_; }

private:
    std::atomic<int>& count_;
};

constexpr int status_first_server_error = 500;
constexpr absl::Duration ejected_probe_timeout = absl::Milliseconds(250);

// Whether an attempt counts as a success or as a failure of the server; nullopt if it counts as neither.
std::optional<bool> success_of(const tl::expected<backend_response, attempt_failure>& response) {
    if (response) {
        return response->status < status_first_server_error;
    }
    const refusal_reason reason = response.error().cause.reason;
    if (reason == refusal_reason::server_refused || reason == refusal_reason::no_server) {
        return std::nullopt;
    }
    return false;
}

// Whether the server may still run an attempt that ended without a response. If the attempt ended because its
// connection was silent, the server has stated that it does not run it.
bool may_still_run(const tl::expected<backend_response, attempt_failure>& response) {
    if (response) {
        return false;
    }
    const refusal_reason reason = response.error().cause.reason;
    return reason == refusal_reason::answer_timeout || reason == refusal_reason::connection_lost;
}

// Whether a repeatable request may run on this entry VM after another entry VM refused it as not run or could
// not be reached.
bool may_run_locally_after(const refusal& forwarded) {
    return forwarded.outcome == verdict::not_run || forwarded.reason == refusal_reason::peer_unreachable;
}

// Whether a refusal by the issuer's entry VM leaves open whether the issuer ran the request when it was sent
// before: the issuer was not reached, or its HTTP server may have refused the request before the identity was
// checked.
bool leaves_outcome_open(const refusal& refused) {
    switch (refused.reason) {
        case refusal_reason::peer_unreachable:
        case refusal_reason::invalid_request:
        case refusal_reason::request_too_large:
        case refusal_reason::deadline_passed:
            return true;
        default:
            return false;
    }
}

constexpr absl::Duration retry_after_stop = absl::Seconds(1);

tl::unexpected<refusal> refuse(verdict outcome, refusal_reason reason, std::string message) {
    return tl::unexpected(refusal{outcome, reason, std::move(message)});
}

// The timeout of an attempt. The first attempt of a repeatable request leaves time for another one, in case
// its connection has become silent.
absl::Duration attempt_timeout(const service_request& request, const dispatch& work, absl::Time now) {
    const absl::Duration remaining = request.deadline - now;
    if (!request.repeatable || work.attempt > 1) {
        return remaining;
    }
    return std::min(remaining, std::max(work.overdue_after, remaining / 2));
}

}  // namespace

request_router::request_router(const router_dependencies& dependencies,
                               const identity_registry_options& identity_options)
    : dependencies_(dependencies),
      identities_(dependencies.self, identity_options, dependencies.time_source),
      supervisor_(dependencies.backends, dependencies.directory, dependencies.quota, dependencies.time_source,
                  dependencies.metrics) {}

request_result request_router::handle(const service_request& request) {
    const open_request open(open_requests_);
    return request.repeatable ? route_repeatable(request) : route_non_repeatable(request);
}

tl::expected<std::shared_ptr<request_router::service_entry>, refusal> request_router::admit(
    const service_name& service) const {
    if (stopping_) {
        return tl::unexpected(refusal{verdict::not_run, refusal_reason::stopping, "this entry VM is stopping",
                                      retry_after_stop});
    }
    const absl::MutexLock lock(&services_mutex_);
    if (!is_configured_) {
        return refuse(verdict::not_run, refusal_reason::no_configuration, "no configuration is in force yet");
    }
    const auto found = services_->find(service);
    if (found == services_->end()) {
        return refuse(verdict::not_run, refusal_reason::unknown_service,
                      "service " + service.value() + " is not configured");
    }
    return found->second;
}

request_result request_router::route_repeatable(const service_request& request) {
    const auto service = admit(request.service);
    if (!service) {
        return tl::unexpected(service.error());
    }
    return run_or_forward(request, **service);
}

request_result request_router::route_non_repeatable(const service_request& request) {
    if (request.id.empty()) {
        return refuse(verdict::not_run, refusal_reason::identity_required,
                      "a request that must not be repeated needs an identity from POST /v1/identities");
    }
    const auto identity = request_identity::parse(request.id.value());
    if (!identity) {
        return refuse(verdict::not_run, refusal_reason::identity_unknown,
                      "the request id is not a valid identity");
    }
    const identity_begin_result begun = identities_.begin(*identity);
    // The identity is checked before any other reason to refuse the request, since the request may have run
    // when it was sent before.
    if (begun.decision == identity_begin_decision::may_run) {
        return run_with_identity(request, *identity);
    }
    if (begun.decision != identity_begin_decision::other_issuer) {
        return result_without_run(begun);
    }
    if (request.forwarded) {
        return refuse(verdict::may_have_run, refusal_reason::issuer_gone,
                      "this entry VM does not hold the identities of the issuer");
    }
    return forward_to_issuer(request, *identity);
}

request_result request_router::run_with_identity(const service_request& request,
                                                 const request_identity& identity) {
    const auto service = admit(request.service);
    request_result result =
        service ? run_locally(request, **service) : request_result(tl::unexpected(service.error()));
    identities_.finish(identity, result);
    return result;
}

request_result request_router::result_without_run(const identity_begin_result& begun) {
    switch (begun.decision) {
        case identity_begin_decision::in_progress:
            return refuse(verdict::may_have_run, refusal_reason::identity_in_use,
                          "the request is in progress");
        case identity_begin_decision::finished:
            if (begun.response && begun.response->outcome == verdict::ran) {
                return service_response{begun.response->status, begun.response->content_type,
                                        begun.response->body};
            }
            return refuse(verdict::may_have_run, refusal_reason::already_ran,
                          "the request has ended and its response is not available");
        case identity_begin_decision::unknown:
            return refuse(verdict::not_run, refusal_reason::identity_unknown,
                          "the identity was never issued");
        default:
            return refuse(verdict::may_have_run, refusal_reason::identity_expired,
                          "the identity has expired");
    }
}

request_result request_router::forward_to_issuer(const service_request& request,
                                                 const request_identity& identity) {
    const auto issuer = dependencies_.known_peers.find(identity.issuer);
    if (!issuer) {
        return refuse(verdict::may_have_run, refusal_reason::issuer_gone,
                      "the entry VM that issued the identity is not known");
    }
    dependencies_.metrics.count({"masticpass_forwards_total", "reason", "issuer"});
    request_result result = dependencies_.peers.forward(issuer->address, request);
    if (!result && leaves_outcome_open(result.error())) {
        // The caller may have sent the same request to the issuer before.
        result.error().outcome = verdict::may_have_run;
    }
    return result;
}

request_result request_router::run_or_forward(const service_request& request, service_entry& service) {
    const shard_load load = service.shard->load();
    const bool has_slot = load.free_slots > 0 && load.queued == 0;
    if (has_slot || request.forwarded) {
        return run_locally(request, service);
    }
    const auto target = dependencies_.known_peers.choose(request.service);
    if (!target) {
        return run_locally(request, service);
    }
    dependencies_.metrics.count({"masticpass_forwards_total", "reason", "no-free-slot"});
    request_result forwarded = dependencies_.peers.forward(target->address, request);
    if (forwarded || !may_run_locally_after(forwarded.error())) {
        return forwarded;
    }
    dependencies_.metrics.count(
        {"masticpass_retries_total", "reason", std::string(to_string(forwarded.error().reason))});
    dependencies_.known_peers.clear_free_slots(target->entry);
    request_result result = run_locally(request, service);
    if (!result && forwarded.error().outcome != verdict::not_run) {
        result.error().outcome = verdict::may_have_run;
    }
    return result;
}

request_description request_router::describe(const service_request& request, const service_entry& service) {
    request_description description;
    description.id =
        request.id.empty() ? request_id("local." + std::to_string(next_local_id_.fetch_add(1))) : request.id;
    description.kind = request.kind;
    description.deadline = request.deadline;
    description.worth = request.worth;
    description.declared_run_time = request.declared_run_time;
    description.bytes = request.body.size();
    description.urgent = service.urgent;
    description.repeatable = request.repeatable;
    return description;
}

request_result request_router::run_locally(const service_request& request, service_entry& service) {
    const request_description description = describe(request, service);
    const absl::Time submitted = dependencies_.time_source.now();
    auto work = service.shard->wait_for_slot(description);
    if (!work) {
        return tl::unexpected(std::move(work.error()));
    }
    const char* size = work->size == size_class::short_work ? "short" : "long";
    dependencies_.metrics.observe({"masticpass_wait_seconds", "size", size},
                                  dependencies_.time_source.now() - submitted);
    return run_attempts(request, description, service, std::move(*work));
}

request_result request_router::run_attempts(const service_request& request,
                                            const request_description& description, service_entry& service,
                                            dispatch work) {
    while (true) {
        auto response = run_attempt(request, service, work);
        const attempt_result outcome =
            response ? attempt_result() : attempt_result(tl::unexpected(response.error().cause));
        auto disposition = service.shard->attempt_ended(description.id, outcome);
        if (response) {
            return service_response{response->status, std::move(response->content_type),
                                    std::move(response->body)};
        }
        if (!disposition) {
            return tl::unexpected(std::move(disposition.error()));
        }
        dependencies_.metrics.count(
            {"masticpass_retries_total", "reason", std::string(to_string(response.error().cause.reason))});
        auto retry = service.shard->wait_again(description.id);
        if (!retry) {
            return tl::unexpected(std::move(retry.error()));
        }
        work = std::move(*retry);
    }
}

tl::expected<backend_response, attempt_failure> request_router::run_attempt(const service_request& request,
                                                                            service_entry& service,
                                                                            const dispatch& work) {
    const auto server = dependencies_.directory.find(work.instance);
    if (!server || !server->accepts_work() || !dependencies_.quota.acquire_slot(work.instance)) {
        // The shard learns of this only at the next update of the service table. Until then, it would
        // dispatch the request to this server again at once and use up the retry budget.
        service.shard->suspend(work.instance);
        return tl::unexpected(attempt_failure{
            {verdict::not_run, refusal_reason::no_server, "the backend server no longer accepts work"}});
    }
    const absl::Time start = dependencies_.time_source.now();
    backend_request attempt;
    attempt.address = server->address;
    attempt.service = request.service;
    attempt.attempt =
        attempt_id(dependencies_.self.value() + "." + std::to_string(next_attempt_.fetch_add(1)));
    attempt.kind = request.kind;
    attempt.content_type = request.content_type;
    attempt.body = request.body;
    attempt.timeout = attempt_timeout(request, work, start);
    supervisor_.begin(attempt.attempt, *server, work.overdue_after, attempt.timeout);
    auto response = dependencies_.backends.run(attempt);
    if (may_still_run(response)) {
        dependencies_.quota.abandon_slot(work.instance);
        supervisor_.abandon(attempt.attempt);
    } else {
        supervisor_.finish(attempt.attempt);
        dependencies_.quota.release_slot(work.instance);
    }
    if (const auto succeeded = success_of(response)) {
        service.shard->record_outcome(work.instance, request.kind, *succeeded);
    }
    const bool leaving = response ? response->leaving : response.error().leaving;
    if (leaving) {
        dependencies_.directory.mark_leaving(server->vm, server->boot);
        service.shard->suspend(work.instance);
    }
    return response;
}

tl::expected<std::vector<request_id>, refusal> request_router::issue_identities(std::size_t count) {
    if (stopping_) {
        return refuse(verdict::not_run, refusal_reason::stopping, "this entry VM is stopping");
    }
    return identities_.issue(count);
}

bool request_router::is_unused(const request_id& id) {
    const auto identity = request_identity::parse(id.value());
    return identity && identities_.is_unused(*identity);
}

verdict request_router::cancel(const request_id& id, bool forwarded) {
    if (const auto outcome = cancel_locally(id)) {
        return *outcome;
    }
    // A request that is not known to any entry VM may have run before.
    return forwarded ? verdict::may_have_run : cancel_at_peers(id);
}

std::optional<verdict> request_router::cancel_locally(const request_id& id) {
    const auto services = current_services();
    for (const auto& [name, service] : *services) {
        switch (service->shard->cancel(id)) {
            case cancel_result::removed:
                return verdict::not_run;
            case cancel_result::removed_after_attempt:
            case cancel_result::running:
                return verdict::may_have_run;
            case cancel_result::unknown:
                break;
        }
    }
    return std::nullopt;
}

verdict request_router::cancel_at_peers(const request_id& id) {
    if (const auto identity = request_identity::parse(id.value())) {
        const auto issuer = dependencies_.known_peers.find(identity->issuer);
        return issuer ? dependencies_.peers.cancel(issuer->address, id) : verdict::may_have_run;
    }
    // The id was chosen by the caller, so any entry VM may hold the request.
    for (const forward_target& peer : dependencies_.known_peers.all()) {
        if (dependencies_.peers.cancel(peer.address, id) == verdict::not_run) {
            return verdict::not_run;
        }
    }
    return verdict::may_have_run;
}

void request_router::set_services(const std::vector<routed_service>& services) {
    service_table removed;
    {
        const absl::MutexLock lock(&services_mutex_);
        is_configured_ = true;
        removed = *services_;
        auto new_services = std::make_shared<service_table>();
        for (const routed_service& service : services) {
            const auto existing = removed.extract(service.service);
            std::shared_ptr<service_entry> entry =
                existing.empty() ? std::make_shared<service_entry>() : existing.mapped();
            if (!entry->shard) {
                entry->shard = std::make_unique<service_shard>(service.scheduler, dependencies_.time_source);
            }
            entry->urgent = service.urgent;
            entry->shard->update_instances(service.instances);
            new_services->emplace(service.service, std::move(entry));
        }
        services_ = std::move(new_services);
        for (const auto& [name, service] : removed) {
            removed_.push_back(service);
        }
    }
    for (const auto& [name, service] : removed) {
        refuse_removed(*service);
    }
}

void request_router::refuse_removed(service_entry& service) {
    service.shard->refuse_queued(refusal_reason::unknown_service, "the service was removed");
}

void request_router::tick() {
    // Reading the state of all 181 services takes half a percent of a CPU core at 200 ticks/s.
    if (open_requests_ == 0) {
        return;
    }
    const auto services = current_services();
    for (const auto& [name, service] : *services) {
        service->shard->tick();
    }
    std::vector<std::shared_ptr<service_entry>> removed;
    {
        const absl::MutexLock lock(&services_mutex_);
        std::erase_if(removed_, [](const auto& service) { return service.use_count() == 1; });
        removed = removed_;
    }
    for (const auto& service : removed) {
        refuse_removed(*service);
    }
}

void request_router::check_ejected_servers() {
    std::set<vm_id> ejected;
    const auto services = current_services();
    for (const auto& [name, service] : *services) {
        while (const auto vm = service->shard->next_probe()) {
            const auto server = dependencies_.directory.find(*vm);
            const bool healthy =
                server &&
                dependencies_.backends.probe(server->address, ejected_probe_timeout) == probe_result::healthy;
            service->shard->probe_ended(*vm, healthy);
        }
        for (vm_id& vm : service->shard->ejected_servers()) {
            ejected.insert(std::move(vm));
        }
    }
    dependencies_.directory.set_ejected(ejected);
}

void request_router::begin_stop() {
    stopping_ = true;
    const auto services = current_services();
    for (const auto& [name, service] : *services) {
        service->shard->refuse_queued(refusal_reason::stopping, "this entry VM is stopping");
    }
}

std::vector<routed_load> request_router::loads() const {
    std::vector<routed_load> result;
    const auto services = current_services();
    for (const auto& [name, service] : *services) {
        result.push_back({name, service->shard->load()});
    }
    return result;
}

std::shared_ptr<const request_router::service_table> request_router::current_services() const {
    const absl::MutexLock lock(&services_mutex_);
    return services_;
}

}  // namespace masticpass
