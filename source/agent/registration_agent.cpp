#include "agent/registration_agent.h"

#include <utility>

#include <absl/random/uniform_real_distribution.h>

#include "decision/membership/incarnation.h"
#include "telemetry/guarded_call.h"
#include "telemetry/log.h"

namespace masticpass {

registration_agent::registration_agent(configuration_store& store, retry_counter& retries,
                                       const clock& time_source, absl::BitGenRef random,
                                       entry_registration registration, const registration_options& options)
    : store_(store),
      retries_(retries),
      random_(random),
      registration_(std::move(registration)),
      options_(options),
      writer_(store, retries, time_source, random,
              {.backoff = options.backoff, .timeout = options.time_to_live}) {}

registration_agent::~registration_agent() = default;

void registration_agent::start() {
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void registration_agent::run(const std::stop_token& stop) {
    jittered_backoff backoff(options_.backoff, random_);
    while (!stop.stop_requested()) {
        bool succeeded = false;
        call_guarded("register", [&] { succeeded = is_registered_ ? renew_lease() : register_entry(stop); });
        if (succeeded) {
            backoff.reset();
        }
        wait_unless_stopped(succeeded ? renewal_delay() : backoff.next(), stop);
    }
}

absl::Duration registration_agent::renewal_delay() {
    absl::uniform_real_distribution<double> fraction(0.9, 1.0);
    return options_.renewal_interval * fraction(random_);
}

bool registration_agent::register_entry(const std::stop_token& stop) {
    if (lease_ == lease_id::none && !grant_lease()) {
        return false;
    }
    const write_result result = writer_.write(registration_change(), stop);
    is_registered_ = result.outcome == write_outcome::applied;
    if (result.outcome == write_outcome::conflict) {
        retries_.count(retry_reason::superseded);
        log_event(log_severity::warning, "registration_superseded",
                  {{"entry", registration_.entry.value()}, {"reason", result.message}});
    }
    if (!is_registered_) {
        // The lease may have expired in the meantime; if it has not, it expires unused.
        lease_ = lease_id::none;
    }
    return is_registered_;
}

bool registration_agent::grant_lease() {
    const auto lease = store_.grant_lease(options_.time_to_live);
    is_store_responding_ = lease.has_value();
    if (!lease) {
        retries_.count(to_retry_reason(lease.error().kind));
        return false;
    }
    lease_ = *lease;
    return true;
}

bool registration_agent::renew_lease() {
    const auto renewed = store_.renew_lease(lease_);
    is_store_responding_ = renewed || renewed.error().kind == store_error_kind::not_found;
    if (renewed) {
        return true;
    }
    if (renewed.error().kind == store_error_kind::not_found) {
        retries_.count(retry_reason::lease_lost);
        log_event(log_severity::warning, "registration_lease_lost", {{"entry", registration_.entry.value()}});
        lease_ = lease_id::none;
        is_registered_ = false;
    } else {
        retries_.count(to_retry_reason(renewed.error().kind));
    }
    return false;
}

record_change registration_agent::registration_change() const {
    const auto propose = [this](const store_entry* current) -> tl::expected<std::string, std::string> {
        const auto registered = current != nullptr
                                    ? parse_registration(current->key, current->value)
                                    : tl::expected<entry_registration, std::string>(tl::make_unexpected(""));
        if (registered && is_newer(registered->incarnation, registration_.incarnation)) {
            return tl::make_unexpected("registered by incarnation " + registered->incarnation.value());
        }
        return registration_value(registration_);
    };
    // The lease identifies the write, because it is granted for this registration alone. If another
    // incarnation has replaced the registration, it may be written again: `propose` decides which incarnation
    // is registered.
    const auto find_own_write = [lease = lease_](const store_entry& current) {
        return current.lease == lease ? own_write::found : own_write::absent;
    };
    return {.key = registration_key(registration_),
            .propose = propose,
            .find_own_write = find_own_write,
            .lease = lease_};
}

}  // namespace masticpass
