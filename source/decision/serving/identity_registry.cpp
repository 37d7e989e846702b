#include "decision/serving/identity_registry.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace masticpass {
namespace {

constexpr std::uint64_t states_per_byte = 4;
// The lifetime is divided into this many blocks. The identities of a block expire together, so that an
// identity expires at most one such fraction of the lifetime late.
constexpr int blocks_per_lifetime = 60;

}  // namespace

identity_registry::identity_registry(incarnation_id self, identity_registry_options options)
    : self_(std::move(self)), options_(options), cache_(options.maximum_cache_bytes) {}

tl::expected<request_identity, refusal> identity_registry::issue(std::uint64_t count, absl::Time now) {
    expire(now);
    if (count == 0 || count > options_.maximum_issue_count) {
        return tl::make_unexpected(
            refusal{.outcome = verdict::not_run,
                    .reason = refusal_reason::invalid_request,
                    .message = absl::StrCat("count must be 1 to ", options_.maximum_issue_count)});
    }
    if (live_identities() + count > options_.maximum_live_identities) {
        return tl::make_unexpected(refusal{.outcome = verdict::not_run,
                                           .reason = refusal_reason::queue_full_items,
                                           .message = "too many identities are live",
                                           .retry_after = options_.lifetime / blocks_per_lifetime});
    }
    const std::uint64_t first = next_sequence_;
    append_identities(count, now);
    return request_identity{self_, first};
}

identity_begin_result identity_registry::begin(const request_identity& identity, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        switch (found.error()) {
            case identity_error::other_issuer:
                return {.decision = identity_begin_decision::other_issuer};
            case identity_error::unknown:
                return {.decision = identity_begin_decision::unknown};
            case identity_error::not_in_progress:
            case identity_error::expired:
                return {.decision = identity_begin_decision::expired};
        }
    }
    switch (read_state(**found, identity.sequence)) {
        case state::unused:
            write_state(**found, identity.sequence, state::started);
            return {.decision = identity_begin_decision::may_run};
        case state::started:
            return {.decision = identity_begin_decision::in_progress};
        case state::finished:
            break;
    }
    return {.decision = identity_begin_decision::finished, .response = cache_.find(identity.sequence)};
}

bool identity_registry::is_unused(const request_identity& identity, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    return found.has_value() && read_state(**found, identity.sequence) == state::unused;
}

tl::expected<void, identity_error> identity_registry::finish(const request_identity& identity,
                                                             stored_response response, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        return tl::make_unexpected(found.error());
    }
    if (read_state(**found, identity.sequence) != state::started) {
        return tl::make_unexpected(identity_error::not_in_progress);
    }
    write_state(**found, identity.sequence, state::finished);
    cache_.insert(identity.sequence, std::move(response));
    return {};
}

tl::expected<void, identity_error> identity_registry::revert(const request_identity& identity,
                                                             absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        return tl::make_unexpected(found.error());
    }
    if (read_state(**found, identity.sequence) != state::started) {
        return tl::make_unexpected(identity_error::not_in_progress);
    }
    write_state(**found, identity.sequence, state::unused);
    return {};
}

identity_transfer identity_registry::export_transfer(absl::Time now) {
    expire(now);
    identity_transfer transfer{.issuer = self_, .next_sequence = next_sequence_, .parts = {}};
    for (const block& each : blocks_) {
        transfer.parts.push_back(
            {.first = each.first, .count = each.count, .age = now - each.last_issued, .states = each.states});
    }
    return transfer;
}

tl::expected<identity_registry, std::string> identity_registry::from_transfer(
    const identity_transfer& transfer, const identity_registry_options& options, absl::Time now) {
    identity_registry result(transfer.issuer, options);
    std::uint64_t expected_first =
        transfer.parts.empty() ? transfer.next_sequence : transfer.parts.front().first;
    for (const identity_transfer::part& each : transfer.parts) {
        const bool is_valid = each.first == expected_first && each.count > 0 &&
                              each.age >= absl::ZeroDuration() &&
                              each.states.size() == (each.count + states_per_byte - 1) / states_per_byte;
        if (!is_valid) {
            return tl::make_unexpected(std::string("the parts of the transfer do not fit together"));
        }
        const absl::Time issued = now - each.age;
        result.blocks_.push_back({.first = each.first,
                                  .count = each.count,
                                  .opened = issued,
                                  .last_issued = issued,
                                  .states = each.states});
        expected_first += each.count;
    }
    if (expected_first != transfer.next_sequence || transfer.issuer.empty()) {
        return tl::make_unexpected(std::string("the transfer ends at another identity than it states"));
    }
    result.next_sequence_ = transfer.next_sequence;
    return result;
}

void identity_registry::expire(absl::Time now) {
    bool erased = false;
    while (!blocks_.empty() && blocks_.front().last_issued + options_.lifetime <= now) {
        blocks_.pop_front();
        erased = true;
    }
    if (erased) {
        cache_.erase_before(blocks_.empty() ? next_sequence_ : blocks_.front().first);
    }
}

std::uint64_t identity_registry::live_identities() const {
    return blocks_.empty() ? 0 : next_sequence_ - blocks_.front().first;
}

std::size_t identity_registry::state_bytes() const {
    std::size_t bytes = sizeof(*this);
    for (const block& each : blocks_) {
        bytes += sizeof(block) + each.states.capacity();
    }
    return bytes;
}

tl::expected<identity_registry::block*, identity_error> identity_registry::find(
    const request_identity& identity) {
    if (identity.issuer != self_) {
        return tl::make_unexpected(identity_error::other_issuer);
    }
    if (identity.sequence == 0 || identity.sequence >= next_sequence_) {
        return tl::make_unexpected(identity_error::unknown);
    }
    const auto after = std::upper_bound(
        blocks_.begin(), blocks_.end(), identity.sequence,
        [](std::uint64_t sequence, const block& candidate) { return sequence < candidate.first; });
    if (after == blocks_.begin()) {
        return tl::make_unexpected(identity_error::expired);
    }
    return &*std::prev(after);
}

identity_registry::state identity_registry::read_state(const block& from, std::uint64_t sequence) {
    const std::uint64_t offset = sequence - from.first;
    const unsigned shift = 2 * static_cast<unsigned>(offset % states_per_byte);
    return static_cast<state>((from.states[offset / states_per_byte] >> shift) & 3U);
}

void identity_registry::write_state(block& to, std::uint64_t sequence, state value) {
    const std::uint64_t offset = sequence - to.first;
    const unsigned shift = 2 * static_cast<unsigned>(offset % states_per_byte);
    std::uint8_t& packed = to.states[offset / states_per_byte];
    packed = static_cast<std::uint8_t>((packed & ~(3U << shift)) | (static_cast<unsigned>(value) << shift));
}

void identity_registry::append_identities(std::uint64_t count, absl::Time now) {
    if (blocks_.empty() || now - blocks_.back().opened >= options_.lifetime / blocks_per_lifetime) {
        if (!blocks_.empty()) {
            blocks_.back().states.shrink_to_fit();
        }
        blocks_.push_back(
            {.first = next_sequence_, .count = 0, .opened = now, .last_issued = now, .states = {}});
    }
    block& last = blocks_.back();
    last.count += count;
    last.last_issued = now;
    last.states.resize((last.count + states_per_byte - 1) / states_per_byte);
    next_sequence_ += count;
}

}  // namespace masticpass
