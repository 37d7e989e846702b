#include "decision/serving/once_registry.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace masticpass {
namespace {

constexpr std::uint64_t states_per_byte = 4;
// An identity lives at most this share of the lifetime longer than the lifetime.
constexpr int blocks_per_lifetime = 60;

}  // namespace

once_registry::once_registry(incarnation_id self, once_options options)
    : self_(std::move(self)), options_(options), cache_(options.cache_bytes) {}

tl::expected<once_identity, refusal> once_registry::issue(std::uint64_t count, absl::Time now) {
    expire(now);
    if (count == 0 || count > options_.largest_issue) {
        return tl::make_unexpected(
            refusal{.outcome = verdict::not_run,
                    .reason = refusal_reason::invalid_request,
                    .message = absl::StrCat("count must be 1 to ", options_.largest_issue)});
    }
    if (live_identities() + count > options_.largest_live) {
        return tl::make_unexpected(refusal{.outcome = verdict::not_run,
                                           .reason = refusal_reason::queue_full_items,
                                           .message = "too many identities are live",
                                           .retry_after = options_.lifetime / blocks_per_lifetime});
    }
    const std::uint64_t first = next_;
    append(count, now);
    return once_identity{self_, first};
}

once_begin once_registry::begin(const once_identity& identity, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        switch (found.error()) {
            case once_error::other_issuer:
                return {.decision = once_decision::other_issuer};
            case once_error::unknown:
                return {.decision = once_decision::unknown};
            case once_error::not_in_progress:
            case once_error::expired:
                return {.decision = once_decision::expired};
        }
    }
    switch (read(**found, identity.sequence)) {
        case state::unused:
            write(**found, identity.sequence, state::started);
            return {.decision = once_decision::first_run};
        case state::started:
            return {.decision = once_decision::in_progress};
        case state::finished:
            break;
    }
    return {.decision = once_decision::finished, .response = cache_.find(identity.sequence)};
}

bool once_registry::is_unused(const once_identity& identity, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    return found.has_value() && read(**found, identity.sequence) == state::unused;
}

tl::expected<void, once_error> once_registry::finish(const once_identity& identity, once_response response,
                                                     absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        return tl::make_unexpected(found.error());
    }
    if (read(**found, identity.sequence) != state::started) {
        return tl::make_unexpected(once_error::not_in_progress);
    }
    write(**found, identity.sequence, state::finished);
    cache_.insert(identity.sequence, std::move(response));
    return {};
}

tl::expected<void, once_error> once_registry::revert(const once_identity& identity, absl::Time now) {
    expire(now);
    const auto found = find(identity);
    if (!found.has_value()) {
        return tl::make_unexpected(found.error());
    }
    if (read(**found, identity.sequence) != state::started) {
        return tl::make_unexpected(once_error::not_in_progress);
    }
    write(**found, identity.sequence, state::unused);
    return {};
}

once_transfer once_registry::hand_over(absl::Time now) {
    expire(now);
    once_transfer transfer{.issuer = self_, .next = next_, .parts = {}};
    for (const block& each : blocks_) {
        transfer.parts.push_back(
            {.first = each.first, .count = each.count, .age = now - each.last_issued, .states = each.states});
    }
    return transfer;
}

tl::expected<once_registry, std::string> once_registry::take_over(const once_transfer& transfer,
                                                                  const once_options& options,
                                                                  absl::Time now) {
    once_registry result(transfer.issuer, options);
    std::uint64_t expected = transfer.parts.empty() ? transfer.next : transfer.parts.front().first;
    for (const once_transfer::part& each : transfer.parts) {
        const bool fits = each.first == expected && each.count > 0 && each.age >= absl::ZeroDuration() &&
                          each.states.size() == (each.count + states_per_byte - 1) / states_per_byte;
        if (!fits) {
            return tl::make_unexpected(std::string("the parts of the transfer do not fit together"));
        }
        const absl::Time issued = now - each.age;
        result.blocks_.push_back({.first = each.first,
                                  .count = each.count,
                                  .opened = issued,
                                  .last_issued = issued,
                                  .states = each.states});
        expected += each.count;
    }
    if (expected != transfer.next || transfer.issuer.empty()) {
        return tl::make_unexpected(std::string("the transfer ends at another identity than it states"));
    }
    result.next_ = transfer.next;
    return result;
}

void once_registry::expire(absl::Time now) {
    bool dropped = false;
    while (!blocks_.empty() && blocks_.front().last_issued + options_.lifetime <= now) {
        blocks_.pop_front();
        dropped = true;
    }
    if (dropped) {
        cache_.drop_before(blocks_.empty() ? next_ : blocks_.front().first);
    }
}

std::uint64_t once_registry::live_identities() const {
    return blocks_.empty() ? 0 : next_ - blocks_.front().first;
}

std::size_t once_registry::state_bytes() const {
    std::size_t bytes = sizeof(*this);
    for (const block& each : blocks_) {
        bytes += sizeof(block) + each.states.capacity();
    }
    return bytes;
}

tl::expected<once_registry::block*, once_error> once_registry::find(const once_identity& identity) {
    if (identity.issuer != self_) {
        return tl::make_unexpected(once_error::other_issuer);
    }
    if (identity.sequence == 0 || identity.sequence >= next_) {
        return tl::make_unexpected(once_error::unknown);
    }
    const auto after = std::upper_bound(
        blocks_.begin(), blocks_.end(), identity.sequence,
        [](std::uint64_t sequence, const block& candidate) { return sequence < candidate.first; });
    if (after == blocks_.begin()) {
        return tl::make_unexpected(once_error::expired);
    }
    return &*std::prev(after);
}

once_registry::state once_registry::read(const block& from, std::uint64_t sequence) {
    const std::uint64_t offset = sequence - from.first;
    const unsigned shift = 2 * static_cast<unsigned>(offset % states_per_byte);
    return static_cast<state>((from.states[offset / states_per_byte] >> shift) & 3U);
}

void once_registry::write(block& to, std::uint64_t sequence, state value) {
    const std::uint64_t offset = sequence - to.first;
    const unsigned shift = 2 * static_cast<unsigned>(offset % states_per_byte);
    std::uint8_t& packed = to.states[offset / states_per_byte];
    packed = static_cast<std::uint8_t>((packed & ~(3U << shift)) | (static_cast<unsigned>(value) << shift));
}

void once_registry::append(std::uint64_t count, absl::Time now) {
    if (blocks_.empty() || now - blocks_.back().opened >= options_.lifetime / blocks_per_lifetime) {
        if (!blocks_.empty()) {
            blocks_.back().states.shrink_to_fit();
        }
        blocks_.push_back({.first = next_, .count = 0, .opened = now, .last_issued = now, .states = {}});
    }
    block& last = blocks_.back();
    last.count += count;
    last.last_issued = now;
    last.states.resize((last.count + states_per_byte - 1) / states_per_byte);
    next_ += count;
}

}  // namespace masticpass
