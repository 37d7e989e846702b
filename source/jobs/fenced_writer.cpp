#include "jobs/fenced_writer.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace masticpass {

namespace {

// A transaction may conflict with an earlier one of the same writer whose response was lost. The writer then
// reads the owner key and tries again.
constexpr int maximum_attempts_per_transaction = 3;

}  // namespace

tl::expected<void, fenced_writer::write_error> fenced_writer::refresh_owner_revision() {
    const auto current = store_.read(owner_.key);
    if (!current && current.error().kind != store_error_kind::not_found) {
        return tl::unexpected(write_error::unavailable);
    }
    if (!current || current->created != owner_.create_revision) {
        is_superseded_ = true;
        log_event(log_severity::warning, "ownership_superseded",
                  {{"key", owner_.key}, {"fence", std::to_string(owner_.create_revision)}});
        return tl::unexpected(write_error::superseded);
    }
    owner_.last_revision = current->revision;
    return {};
}

tl::expected<void, fenced_writer::write_error> fenced_writer::transact(std::span<store_write> writes,
                                                                       std::span<std::string> removals) {
    store_transaction change{.expectations = {{.key = owner_.key, .revision = owner_.last_revision}},
                             .writes = {{.key = owner_.key, .value = owner_.value, .lease = owner_.lease}},
                             .removals = {removals.begin(), removals.end()}};
    change.writes.insert(change.writes.end(), writes.begin(), writes.end());
    bool may_be_applied = false;
    for (int attempt = 0; attempt < maximum_attempts_per_transaction; ++attempt) {
        const store_revision expected_revision = owner_.last_revision;
        change.expectations.front().revision = expected_revision;
        const auto revision = store_.transact(change);
        if (revision) {
            owner_.last_revision = *revision;
            has_unresolved_transaction_ = false;
            return {};
        }
        const store_error& error = revision.error().error;
        metrics_.count({.name = "masticpass_store_retries_total",
                        .label = "reason",
                        .label_value = std::string(to_string(error.kind))});
        may_be_applied = may_be_applied || error.kind == store_error_kind::unknown_outcome;
        if (error.kind == store_error_kind::unavailable) {
            has_unresolved_transaction_ = has_unresolved_transaction_ || may_be_applied;
            return tl::unexpected(write_error::unavailable);
        }
        if (error.kind == store_error_kind::not_found) {
            is_superseded_ = true;
            return tl::unexpected(write_error::superseded);
        }
        if (const auto refreshed = refresh_owner_revision(); !refreshed) {
            has_unresolved_transaction_ = has_unresolved_transaction_ || may_be_applied;
            return refreshed;
        }
        // Only this writer writes the owner key, so a later revision shows that one of the attempts has taken
        // effect, unless it may be that of an earlier transaction.
        const bool is_changed = owner_.last_revision != expected_revision;
        if (is_changed && may_be_applied && !has_unresolved_transaction_) {
            return {};
        }
    }
    has_unresolved_transaction_ = has_unresolved_transaction_ || may_be_applied;
    return tl::unexpected(write_error::unavailable);
}

tl::expected<void, fenced_writer::write_error> fenced_writer::write(std::vector<store_write> writes,
                                                                    std::vector<std::string> removals) {
    const absl::MutexLock lock(&mutex_);
    if (is_superseded_) {
        return tl::unexpected(write_error::superseded);
    }
    std::span<store_write> remaining_writes(writes);
    std::span<std::string> remaining_removals(removals);
    while (!remaining_writes.empty() || !remaining_removals.empty()) {
        const std::size_t write_count = std::min(remaining_writes.size(), maximum_entries_per_transaction);
        const std::size_t removal_count =
            std::min(remaining_removals.size(), maximum_entries_per_transaction - write_count);
        const auto written =
            transact(remaining_writes.first(write_count), remaining_removals.first(removal_count));
        if (!written) {
            return written;
        }
        remaining_writes = remaining_writes.subspan(write_count);
        remaining_removals = remaining_removals.subspan(removal_count);
    }
    return {};
}

}  // namespace masticpass
