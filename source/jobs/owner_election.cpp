#include "jobs/owner_election.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "jobs/job_keys.h"
#include "jobs/record_writer.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// How long a shard is without an owner beyond the lease of the last one. Every entry VM asks at this
// interval.
constexpr absl::Duration poll_interval = absl::Milliseconds(400);
// Entry VMs that ask in step would all try to create the key at once.
constexpr absl::Duration poll_spread = absl::Milliseconds(200);

constexpr double millis_per_core = 1000.0;

// The number of a shard's term, and the processor of the VM that owns it.
struct term_record {
    std::int64_t number = -1;
    std::int64_t owner_millis = 0;
};

std::string write_term(const term_record& term) {
    return std::to_string(term.number) + " " + std::to_string(term.owner_millis);
}

// Records of earlier versions have the number alone.
term_record parse_term(const std::string& text) {
    term_record term;
    const char* const end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, term.number);
    if (number.ptr != end) {
        std::from_chars(number.ptr + 1, end, term.owner_millis);
    }
    return term;
}

std::int64_t to_millis(double cores) {
    return static_cast<std::int64_t>(cores * millis_per_core);
}

}  // namespace

owner_election::owner_election(const shard_owner_peers& peers, const shard_owner::options& options,
                               std::string name)
    : peers_(peers),
      options_(options),
      name_(std::move(name)),
      preference_{.own_cores = options.processor_cores},
      thread_([this] { loop(); }) {}

owner_election::~owner_election() {
    stop();
}

void owner_election::stop() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        changed_.notify_all();
    }
    if (!thread_.joinable()) {
        return;
    }
    thread_.join();
    if (owner_) {
        owner_->hand_over();
        owner_.reset();
    }
    for (std::thread& retirement : retirements_) {
        retirement.join();
    }
}

bool owner_election::is_owner() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return owner_ != nullptr && owner_->is_active();
}

void owner_election::pause(absl::Duration duration) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return is_stopping_; });
}

void owner_election::loop() {
    while (true) {
        std::unique_ptr<shard_owner> ended;
        bool is_idle = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (is_stopping_) {
                return;
            }
            const bool is_over = owner_ != nullptr && !owner_->is_active();
            is_idle = owner_ == nullptr || is_over;
            if (is_over) {
                ended.swap(owner_);
            }
        }
        if (ended) {
            retire(std::move(ended));
        }
        if (!is_idle) {
            follow_wish();
        } else if (peers_.rules.rules() != nullptr) {
            try_acquire();
        }
        pause(poll_interval + absl::Uniform(random_, 0.0, 1.0) * poll_spread);
    }
}

void owner_election::retire(std::unique_ptr<shard_owner> ended) {
    retirements_.emplace_back([owner = std::move(ended)]() mutable { owner.reset(); });
}

void owner_election::follow_wish() {
    // Only this thread changes the owner before `stop` has waited for it.
    if (owner_->is_hand_over_wanted()) {
        owner_->hand_over();
    }
}

void owner_election::judge_owner(const store_entry& owner) {
    if (owner.created == judged_fence_) {
        return;
    }
    const auto term = peers_.store.read(job_keys::term(options_.shard));
    if (!term) {
        return;
    }
    judged_fence_ = owner.created;
    const auto owner_cores = static_cast<double>(parse_term(term->value).owner_millis) / millis_per_core;
    if (owner_cores <= 0 || !preference_.should_replace(owner_cores)) {
        return;
    }
    // The small VMs wait for a larger one only if they know that there is one.
    static_cast<void>(learn_largest());
    // Of several larger VMs one creates the key.
    const auto asked =
        peers_.store.compare_and_swap(job_keys::hand_over(owner.created), 0, name_, lease_id::none);
    log_event(log_severity::info, "hand_over_asked",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(owner.created)},
               {"owner_cores", std::to_string(owner_cores)},
               {"own_cores", std::to_string(preference_.own_cores)},
               {"outcome", asked ? "asked" : std::string(to_string(asked.error().kind))}});
}

std::optional<double> owner_election::learn_largest() {
    const std::string key = job_keys::largest_vm(options_.shard);
    const auto stored = peers_.store.read(key);
    if (!stored && stored.error().kind != store_error_kind::not_found) {
        return std::nullopt;
    }
    std::int64_t largest = 0;
    if (stored) {
        std::from_chars(stored->value.data(), stored->value.data() + stored->value.size(), largest);
    }
    const std::int64_t own = to_millis(preference_.own_cores);
    if (own > largest) {
        // A lost answer or a conflict is resolved by the next look for an owner.
        static_cast<void>(peers_.store.compare_and_swap(key, stored ? stored->revision : 0,
                                                        std::to_string(own), lease_id::none));
    }
    return static_cast<double>(std::max(own, largest)) / millis_per_core;
}

void owner_election::try_acquire() {
    const auto present = peers_.store.read(job_keys::owner(options_.shard));
    if (present) {
        missing_since_.reset();
        judge_owner(*present);
        return;
    }
    if (present.error().kind != store_error_kind::not_found) {
        return;
    }
    const absl::Time seen_at = peers_.time.now();
    missing_since_ = missing_since_.value_or(seen_at);
    const auto largest = learn_largest();
    if (!largest || !preference_.may_acquire(*largest, *missing_since_, seen_at)) {
        return;
    }
    const auto last_term = peers_.store.read(job_keys::term(options_.shard));
    if (!last_term && last_term.error().kind != store_error_kind::not_found) {
        return;
    }
    // The lease runs from here on, so little follows before its first renewal.
    const absl::Time granted_at = peers_.time.now();
    const auto lease = peers_.store.grant_lease(options_.limits.time_to_live);
    if (!lease) {
        log_event(log_severity::warning, "ownership_not_taken", {{"message", lease.error().message}});
        return;
    }
    const auto term = create_owner_key(*lease, granted_at, last_term ? *last_term : store_entry{});
    if (!term) {
        // A write that is carried out late finds the lease gone and has no effect.
        static_cast<void>(peers_.store.end_lease(*lease));
        log_event(log_severity::info, "ownership_not_taken",
                  {{"reason", std::string(to_string(term.error().kind))}});
        return;
    }
    log_event(log_severity::info, "ownership_taken",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(term->key.created)},
               {"term", std::to_string(term->number)}});
    const std::lock_guard<std::mutex> lock(mutex_);
    owner_ = std::make_unique<shard_owner>(peers_, options_, *term);
}

tl::expected<shard_owner::term, store_error> owner_election::create_owner_key(lease_id lease,
                                                                              absl::Time granted_at,
                                                                              const store_entry& last_term) {
    const std::string term_key = job_keys::term(options_.shard);
    shard_owner::term term{.key = {.key = job_keys::owner(options_.shard), .value = name_, .lease = lease},
                           .number = last_term.revision != 0 ? parse_term(last_term.value).number + 1 : 0,
                           .granted_at = granted_at};
    store_transaction creation{
        .expectations = {{.key = term.key.key, .revision = 0},
                         {.key = term_key, .revision = last_term.revision}},
        .writes = {{.key = term.key.key, .value = name_, .lease = lease},
                   {.key = term_key,
                    .value = write_term(
                        {.number = term.number, .owner_millis = to_millis(options_.processor_cores)})}}};
    for (std::size_t lane = 0; lane < record_writer::lane_count; ++lane) {
        const std::string key = job_keys::owner_lane(options_.shard, lane);
        // The lane of an earlier owner ended with its lease.
        creation.expectations.push_back({.key = key, .revision = 0});
        creation.writes.push_back({.key = key, .value = name_, .lease = lease});
    }
    const auto revision = peers_.store.transact(creation);
    if (revision) {
        term.key.created = *revision;
        term.key.revision = *revision;
        return term;
    }
    if (revision.error().error.kind != store_error_kind::unknown_outcome) {
        return tl::unexpected(revision.error().error);
    }
    const auto present = peers_.store.read(term.key.key);
    if (!present || present->value != name_ || present->lease != lease || present->created == 0) {
        return tl::unexpected(revision.error().error);
    }
    term.key.created = present->created;
    term.key.revision = present->revision;
    return term;
}

}  // namespace masticpass
