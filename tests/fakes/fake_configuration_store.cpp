#include "fakes/fake_configuration_store.h"

#include <utility>

#include "store/etcd_messages.h"

namespace masticpass::fakes {

namespace {

constexpr std::size_t maximum_value_bytes = std::size_t{1} << 20U;

tl::unexpected<store_error> failure(store_error_kind kind) {
    return tl::make_unexpected(store_error{.kind = kind, .message = "fake: " + std::string(to_string(kind))});
}

standin::key_range prefix_range(std::string_view prefix) {
    return {.begin = std::string(prefix), .end = etcd::prefix_end(prefix)};
}

}  // namespace

bool fake_configuration_store::begin_call(std::string_view method, std::string_view key) {
    call_hook hook;
    {
        const absl::MutexLock lock(&mutex_);
        ++calls_[std::string(method)];
        hook = hook_;
    }
    if (hook) {
        hook(method, key);
    }
    return !is_down();
}

bool fake_configuration_store::is_down() const {
    const absl::MutexLock lock(&mutex_);
    return is_down_;
}

fake_configuration_store::injected_fault fake_configuration_store::next_write_fault() {
    const absl::MutexLock lock(&mutex_);
    if (requests_to_lose_ > 0) {
        --requests_to_lose_;
        return injected_fault::request_lost;
    }
    if (responses_to_lose_ > 0) {
        --responses_to_lose_;
        return injected_fault::response_lost;
    }
    return injected_fault::none;
}

tl::expected<store_entry, store_error> fake_configuration_store::read(std::string_view key) {
    if (!begin_call("read", key)) {
        return failure(store_error_kind::unavailable);
    }
    const store_snapshot snapshot = state_.range({.begin = std::string(key), .end = ""});
    if (snapshot.entries.empty()) {
        return failure(store_error_kind::not_found);
    }
    return snapshot.entries.front();
}

tl::expected<store_snapshot, store_error> fake_configuration_store::read_prefix(std::string_view prefix) {
    if (!begin_call("read_prefix", prefix)) {
        return failure(store_error_kind::unavailable);
    }
    store_snapshot snapshot = state_.range(prefix_range(prefix));
    call_hook response_hook;
    {
        const absl::MutexLock lock(&mutex_);
        response_hook = response_hook_;
    }
    if (response_hook) {
        response_hook("read_prefix", prefix);
    }
    return snapshot;
}

tl::expected<store_revision, store_error> fake_configuration_store::apply(
    const standin::transaction& request) {
    const injected_fault fault = next_write_fault();
    if (fault == injected_fault::request_lost) {
        return failure(store_error_kind::unknown_outcome);
    }
    const standin::transaction_result result = state_.transact(request);
    if (fault == injected_fault::response_lost) {
        return failure(store_error_kind::unknown_outcome);
    }
    if (result.lease_missing) {
        return failure(store_error_kind::not_found);
    }
    if (!result.succeeded) {
        return failure(store_error_kind::conflict);
    }
    return result.revision;
}

tl::expected<store_revision, store_error> fake_configuration_store::compare_and_swap(
    std::string_view key, store_revision expected_revision, std::string_view value, lease_id lease) {
    if (!begin_call("compare_and_swap", key)) {
        return failure(store_error_kind::unavailable);
    }
    if (value.size() > maximum_value_bytes) {
        return failure(store_error_kind::too_large);
    }
    return apply({.comparisons = {{.key = std::string(key), .revision = expected_revision}},
                  .operations = {{.key = std::string(key), .value = std::string(value), .lease = lease}}});
}

tl::expected<void, store_error> fake_configuration_store::compare_and_remove(
    std::string_view key, store_revision expected_revision) {
    if (!begin_call("compare_and_remove", key)) {
        return failure(store_error_kind::unavailable);
    }
    const auto result = apply({.comparisons = {{.key = std::string(key), .revision = expected_revision}},
                               .operations = {{.key = std::string(key), .value = std::nullopt}}});
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    return {};
}

tl::expected<watch_result, store_error> fake_configuration_store::watch(std::string_view prefix,
                                                                        store_revision after_revision,
                                                                        absl::Duration timeout,
                                                                        const std::stop_token& stop) {
    if (!begin_call("watch", prefix)) {
        return failure(store_error_kind::unavailable);
    }
    const std::stop_callback wake(stop, [this] { state_.wake(); });
    watch_result result = state_.wait_for_changes(prefix_range(prefix), after_revision, timeout,
                                                  [&] { return stop.stop_requested() || is_down(); });
    if (is_down()) {
        return failure(store_error_kind::unavailable);
    }
    return result;
}

tl::expected<store_revision, transaction_error> fake_configuration_store::transact(
    const store_transaction& change) {
    if (!begin_call("transact", change.expectations.empty() ? "" : change.expectations.front().key)) {
        return tl::unexpected(transaction_error{.error = {.kind = store_error_kind::unavailable}});
    }
    standin::transaction request;
    for (const store_expectation& expectation : change.expectations) {
        request.comparisons.push_back({.key = expectation.key, .revision = expectation.revision});
    }
    for (const store_write& write : change.writes) {
        request.operations.push_back({.key = write.key, .value = write.value, .lease = write.lease});
    }
    for (const std::string& key : change.removals) {
        request.operations.push_back({.key = key, .value = std::nullopt});
    }
    {
        const absl::MutexLock lock(&mutex_);
        if (requests_to_delay_ > 0) {
            --requests_to_delay_;
            delayed_requests_.push_back(std::move(request));
            return tl::unexpected(transaction_error{.error = {.kind = store_error_kind::unknown_outcome}});
        }
    }
    const auto revision = apply(request);
    if (revision) {
        return *revision;
    }
    transaction_error error{.error = revision.error()};
    if (error.error.kind == store_error_kind::conflict) {
        for (const store_expectation& expectation : change.expectations) {
            const store_snapshot current = state_.range({.begin = expectation.key, .end = ""});
            error.current_entries.insert(error.current_entries.end(), current.entries.begin(),
                                         current.entries.end());
        }
    }
    return tl::unexpected(std::move(error));
}

tl::expected<void, store_error> fake_configuration_store::revoke_lease(lease_id lease) {
    if (!begin_call("revoke_lease", "")) {
        return failure(store_error_kind::unavailable);
    }
    state_.revoke_lease(lease);
    return {};
}

void fake_configuration_store::delay_requests(int count) {
    const absl::MutexLock lock(&mutex_);
    requests_to_delay_ = count;
}

void fake_configuration_store::deliver_delayed() {
    std::vector<standin::transaction> requests;
    {
        const absl::MutexLock lock(&mutex_);
        requests = std::exchange(delayed_requests_, {});
    }
    for (const standin::transaction& request : requests) {
        state_.transact(request);
    }
}

tl::expected<lease_id, store_error> fake_configuration_store::grant_lease(absl::Duration time_to_live) {
    if (!begin_call("grant_lease", "")) {
        return failure(store_error_kind::unavailable);
    }
    const injected_fault fault = next_write_fault();
    if (fault == injected_fault::request_lost) {
        return failure(store_error_kind::unknown_outcome);
    }
    const lease_id lease = state_.grant_lease(time_to_live, absl::UnixEpoch());
    if (fault == injected_fault::response_lost) {
        return failure(store_error_kind::unknown_outcome);
    }
    return lease;
}

tl::expected<void, store_error> fake_configuration_store::renew_lease(lease_id lease) {
    if (!begin_call("renew_lease", "")) {
        return failure(store_error_kind::unavailable);
    }
    if (!state_.renew_lease(lease, absl::UnixEpoch())) {
        return failure(store_error_kind::not_found);
    }
    return {};
}

void fake_configuration_store::set_down(bool down) {
    {
        const absl::MutexLock lock(&mutex_);
        is_down_ = down;
    }
    state_.wake();
}

void fake_configuration_store::lose_responses(int count) {
    const absl::MutexLock lock(&mutex_);
    responses_to_lose_ = count;
}

void fake_configuration_store::lose_requests(int count) {
    const absl::MutexLock lock(&mutex_);
    requests_to_lose_ = count;
}

void fake_configuration_store::set_hook(call_hook hook) {
    const absl::MutexLock lock(&mutex_);
    hook_ = std::move(hook);
}

void fake_configuration_store::set_response_hook(call_hook hook) {
    const absl::MutexLock lock(&mutex_);
    response_hook_ = std::move(hook);
}

int fake_configuration_store::calls(std::string_view method) const {
    const absl::MutexLock lock(&mutex_);
    const auto found = calls_.find(method);
    return found == calls_.end() ? 0 : found->second;
}

store_revision fake_configuration_store::put(const std::string& key, const std::string& value) {
    return state_.transact({.comparisons = {}, .operations = {{.key = key, .value = value}}}).revision;
}

void fake_configuration_store::remove(const std::string& key) {
    state_.transact({.comparisons = {}, .operations = {{.key = key, .value = std::nullopt}}});
}

std::string fake_configuration_store::value(const std::string& key) const {
    return state_.current_value(key).value_or("");
}

}  // namespace masticpass::fakes
