#include "agent/conditional_writer.h"

#include <algorithm>
#include <utility>

namespace masticpass {

conditional_writer::conditional_writer(configuration_store& store, retry_counter& retries,
                                       const clock& time_source, absl::BitGenRef random,
                                       const conditional_writer_options& options)
    : store_(store), retries_(retries), clock_(time_source), random_(random), options_(options) {}

write_result conditional_writer::write(const record_change& change, const std::stop_token& stop) {
    const absl::Time deadline = clock_.now() + options_.timeout;
    jittered_backoff backoff(options_.backoff, random_);
    write_state state{.change = change};
    while (true) {
        if (auto result = try_write(state)) {
            return *std::move(result);
        }
        const absl::Duration delay = backoff.next();
        const bool can_retry = clock_.now() + delay < deadline && wait_unless_stopped(delay, stop);
        if (!can_retry) {
            return {.outcome = state.pending ? write_outcome::unknown : write_outcome::not_applied,
                    .message = stop.stop_requested() ? "the write was stopped" : "the write timed out"};
        }
    }
}

std::optional<write_result> conditional_writer::try_write(write_state& state) {
    const auto read = store_.read(state.change.key);
    if (!read && read.error().kind != store_error_kind::not_found) {
        retries_.count(retry_reason::store_unavailable);
        return std::nullopt;
    }
    const store_entry* current = read ? &*read : nullptr;
    const store_revision revision = current != nullptr ? current->revision : 0;
    if (current != nullptr && revision < state.minimum_revision) {
        retries_.count(retry_reason::old_data);
        return std::nullopt;
    }
    state.minimum_revision = std::max(state.minimum_revision, revision);
    if (state.pending && revision == state.pending->expected_revision) {
        // At most one of the two writes can take effect, because both expect the same revision.
        return send_write(state, revision, state.pending->value);
    }
    if (state.pending) {
        if (auto result = resolve_pending(state, current)) {
            return result;
        }
    }
    auto value = state.change.propose(current);
    if (!value) {
        return write_result{.outcome = write_outcome::conflict, .message = std::move(value.error())};
    }
    return send_write(state, revision, *std::move(value));
}

std::optional<write_result> conditional_writer::resolve_pending(write_state& state,
                                                                const store_entry* current) {
    const own_write own_state =
        current != nullptr ? state.change.find_own_write(*current) : own_write::undetermined;
    if (own_state == own_write::found) {
        return write_result{.outcome = write_outcome::applied, .revision = current->revision};
    }
    if (own_state == own_write::undetermined) {
        return write_result{.outcome = write_outcome::unknown,
                            .message = "the record was replaced after a write with an unknown outcome"};
    }
    state.pending.reset();
    return std::nullopt;
}

std::optional<write_result> conditional_writer::send_write(write_state& state,
                                                           store_revision expected_revision,
                                                           std::string value) {
    const auto written =
        store_.compare_and_swap(state.change.key, expected_revision, value, state.change.lease);
    if (written) {
        return write_result{.outcome = write_outcome::applied, .revision = *written};
    }
    switch (written.error().kind) {
        case store_error_kind::conflict:
            retries_.count(retry_reason::conflict);
            // The record has another revision by now, so a read of the expected one is stale.
            state.minimum_revision = std::max(state.minimum_revision, expected_revision + 1);
            return std::nullopt;
        case store_error_kind::unavailable:
            retries_.count(retry_reason::store_unavailable);
            return std::nullopt;
        case store_error_kind::unknown_outcome:
            retries_.count(retry_reason::unknown_outcome);
            state.pending = pending_write{.expected_revision = expected_revision, .value = std::move(value)};
            return std::nullopt;
        case store_error_kind::not_found:
        case store_error_kind::too_large:
            break;
    }
    return write_result{.outcome = state.pending ? write_outcome::unknown : write_outcome::not_applied,
                        .message = written.error().message};
}

}  // namespace masticpass
