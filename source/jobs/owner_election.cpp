#include "jobs/owner_election.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "jobs/job_keys.h"
#include "jobs/job_record_writer.h"
#include "telemetry/guarded_call.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Interval at which every entry VM checks whether the shard has an owner. It bounds how long a shard has no
// owner after the lease of the last one has expired.
constexpr absl::Duration check_interval = absl::Milliseconds(400);
// Maximum of the random time that is added to the interval, so that entry VMs do not all try to create the
// owner key at the same time.
constexpr absl::Duration check_jitter = absl::Milliseconds(200);

// Interval at which a process tries to release the lease of its last term.
constexpr absl::Duration release_retry_interval = absl::Milliseconds(150);

constexpr double cpu_millis_per_core = 1000.0;

// The stored record of a shard's latest term: its number and the CPU capacity of the owner's VM.
struct term_record {
    std::int64_t number = -1;
    std::int64_t owner_cpu_millis = 0;
};

std::string write_term(const term_record& term) {
    return std::to_string(term.number) + " " + std::to_string(term.owner_cpu_millis);
}

// Parses the result of write_term(). Records of earlier versions of this program contain only the number.
term_record parse_term(const std::string& text) {
    term_record term;
    const char* const end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, term.number);
    if (number.ptr != end) {
        std::from_chars(number.ptr + 1, end, term.owner_cpu_millis);
    }
    return term;
}

std::int64_t to_cpu_millis(double cores) {
    return static_cast<std::int64_t>(cores * cpu_millis_per_core);
}

}  // namespace

owner_election::owner_election(const shard_owner_dependencies& dependencies,
                               const shard_owner::options& options, std::string name)
    : dependencies_(dependencies),
      options_(options),
      name_(std::move(name)),
      preference_{.own_cores = options.cpu_cores},
      thread_([this] { run_election(); }) {}

owner_election::~owner_election() {
    stop();
}

void owner_election::stop() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        stop_requested_.notify_all();
    }
    if (!thread_.joinable()) {
        return;
    }
    thread_.join();
    if (owner_) {
        owner_->hand_over();
        owner_.reset();
    }
    for (std::thread& thread : destruction_threads_) {
        thread.join();
    }
}

bool owner_election::is_owner() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return owner_ != nullptr && owner_->is_active();
}

void owner_election::wait_for_stop(absl::Duration duration) {
    std::unique_lock<std::mutex> lock(mutex_);
    stop_requested_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return is_stopping_; });
}

void owner_election::run_election() {
    while (!is_stop_requested()) {
        // After an exception the next round starts anew. A key that this round has created ends with its
        // lease.
        call_guarded("election", [this] { run_election_round(); });
        wait_for_stop(ended_lease_ ? release_retry_interval
                                   : check_interval + absl::Uniform(random_, 0.0, 1.0) * check_jitter);
    }
}

bool owner_election::is_stop_requested() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_stopping_;
}

void owner_election::run_election_round() {
    std::unique_ptr<shard_owner> ended;
    bool is_candidate = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool has_term_ended = owner_ != nullptr && !owner_->is_active();
        is_candidate = owner_ == nullptr || has_term_ended;
        if (has_term_ended) {
            ended.swap(owner_);
        }
    }
    if (ended) {
        ended_lease_ = ended->lease();
        destroy_in_background(std::move(ended));
    }
    if (ended_lease_ && !release_ended_lease()) {
        return;
    }
    if (!is_candidate) {
        hand_over_if_requested();
    } else if (dependencies_.rules.rules() != nullptr) {
        try_acquire();
    }
}

bool owner_election::release_ended_lease() {
    const auto released = dependencies_.store.revoke_lease(*ended_lease_);
    if (!released && released.error().kind != store_error_kind::not_found) {
        return false;
    }
    log_event(log_severity::info, "ownership_released", {{"shard", std::to_string(options_.shard)}});
    ended_lease_.reset();
    return true;
}

void owner_election::destroy_in_background(std::unique_ptr<shard_owner> ended) {
    destruction_threads_.emplace_back([owner = std::move(ended)]() mutable { owner.reset(); });
}

void owner_election::hand_over_if_requested() {
    // No lock is needed: until stop() has joined this thread, only this thread changes `owner_`.
    if (owner_->is_hand_over_requested()) {
        owner_->hand_over();
    }
}

void owner_election::request_hand_over_if_larger(const store_entry& owner) {
    if (owner.created == evaluated_fencing_token_) {
        return;
    }
    const auto term = dependencies_.store.read(job_keys::term(options_.shard));
    if (!term) {
        return;
    }
    evaluated_fencing_token_ = owner.created;
    const auto owner_cores =
        static_cast<double>(parse_term(term->value).owner_cpu_millis) / cpu_millis_per_core;
    if (owner_cores <= 0 || !preference_.should_replace(owner_cores)) {
        return;
    }
    // After the hand-over, smaller VMs wait for a larger one to acquire the shard only if the store has its
    // size.
    static_cast<void>(update_largest_vm_cores());
    // If several larger VMs request the shard, one of them creates the key, and the others get a conflict.
    const auto requested = dependencies_.store.compare_and_swap(job_keys::hand_over_request(owner.created), 0,
                                                                name_, lease_id::none);
    log_event(log_severity::info, "hand_over_requested",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(owner.created)},
               {"owner_cores", std::to_string(owner_cores)},
               {"own_cores", std::to_string(preference_.own_cores)},
               {"outcome", requested ? "asked" : std::string(to_string(requested.error().kind))}});
}

std::optional<double> owner_election::update_largest_vm_cores() {
    const std::string key = job_keys::largest_vm(options_.shard);
    const auto stored = dependencies_.store.read(key);
    if (!stored && stored.error().kind != store_error_kind::not_found) {
        return std::nullopt;
    }
    std::int64_t largest = 0;
    if (stored) {
        std::from_chars(stored->value.data(), stored->value.data() + stored->value.size(), largest);
    }
    const std::int64_t own = to_cpu_millis(preference_.own_cores);
    if (own > largest) {
        // After a lost response or a conflict, the next call reads the key again and repeats the write if
        // necessary.
        static_cast<void>(dependencies_.store.compare_and_swap(key, stored ? stored->revision : 0,
                                                               std::to_string(own), lease_id::none));
    }
    return static_cast<double>(std::max(own, largest)) / cpu_millis_per_core;
}

void owner_election::try_acquire() {
    const auto current = dependencies_.store.read(job_keys::owner(options_.shard));
    if (current) {
        owner_missing_since_.reset();
        request_hand_over_if_larger(*current);
        return;
    }
    if (current.error().kind != store_error_kind::not_found) {
        return;
    }
    const absl::Time seen_at = dependencies_.time.now();
    owner_missing_since_ = owner_missing_since_.value_or(seen_at);
    const auto largest = update_largest_vm_cores();
    if (!largest || !preference_.may_acquire(*largest, *owner_missing_since_, seen_at)) {
        return;
    }
    const auto last_term = dependencies_.store.read(job_keys::term(options_.shard));
    if (!last_term && last_term.error().kind != store_error_kind::not_found) {
        return;
    }
    // The lease is granted after all reads: its time runs from here on, and only the creation of the owner
    // key follows before the first renewal.
    const absl::Time granted_at = dependencies_.time.now();
    const auto lease = dependencies_.store.grant_lease(options_.limits.time_to_live);
    if (!lease) {
        log_event(log_severity::warning, "ownership_not_acquired", {{"message", lease.error().message}});
        return;
    }
    const auto term = create_owner_key(*lease, granted_at, last_term ? *last_term : store_entry{});
    if (!term) {
        // If the creation of the owner key is still delivered later, it fails because the lease has ended.
        static_cast<void>(dependencies_.store.revoke_lease(*lease));
        log_event(log_severity::info, "ownership_not_acquired",
                  {{"reason", std::string(to_string(term.error().kind))}});
        return;
    }
    log_event(log_severity::info, "ownership_acquired",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(term->key.create_revision)},
               {"term", std::to_string(term->number)}});
    const std::lock_guard<std::mutex> lock(mutex_);
    owner_ = std::make_unique<shard_owner>(dependencies_, options_, *term);
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
                        {.number = term.number, .owner_cpu_millis = to_cpu_millis(options_.cpu_cores)})}}};
    for (std::size_t partition = 0; partition < job_record_writer::partition_count; ++partition) {
        const std::string key = job_keys::owner_partition(options_.shard, partition);
        // The store removed the partition key of the earlier owner when the lease of that owner ended.
        creation.expectations.push_back({.key = key, .revision = 0});
        creation.writes.push_back({.key = key, .value = name_, .lease = lease});
    }
    const auto revision = dependencies_.store.transact(creation);
    if (revision) {
        term.key.create_revision = *revision;
        term.key.last_revision = *revision;
        return term;
    }
    if (revision.error().error.kind != store_error_kind::unknown_outcome) {
        return tl::unexpected(revision.error().error);
    }
    // The key proves that the creation took effect if it has this VM's name and lease.
    const auto current = dependencies_.store.read(term.key.key);
    if (!current || current->value != name_ || current->lease != lease || current->created == 0) {
        return tl::unexpected(revision.error().error);
    }
    term.key.create_revision = current->created;
    term.key.last_revision = current->revision;
    return term;
}

}  // namespace masticpass
