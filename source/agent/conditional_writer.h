#ifndef MASTICPASS_AGENT_CONDITIONAL_WRITER_H
#define MASTICPASS_AGENT_CONDITIONAL_WRITER_H

#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "agent/backoff.h"
#include "agent/retry_counter.h"
#include "common/clock.h"
#include "store/configuration_store.h"

namespace masticpass {

enum class write_outcome {
    applied,      // The write took effect once.
    conflict,     // The change cannot be applied to the current record; it had no effect.
    not_applied,  // The change had no effect, for example because the store was unavailable.
    unknown,      // The change may have taken effect.
};

struct [[nodiscard]] write_result {
    write_outcome outcome = write_outcome::unknown;
    // Store revision of a record that contains the change, if it was applied.
    store_revision revision = 0;
    std::string message = std::string();
};

// What a record shows about an earlier write of the change.
enum class own_write {
    found,         // The record contains the change: it names its change id and writer.
    absent,        // The record's history is complete and does not contain the change.
    undetermined,  // A later write may have removed the change id from the record.
};

// A change of one record. The functions are called on the thread that calls `write`.
struct record_change {
    std::string key;
    // Returns the new value, which contains the change id and the writer, for the current record (null if
    // there is none). An error says why the change cannot be applied; the write then ends with `conflict`.
    std::function<tl::expected<std::string, std::string>(const store_entry* current)> propose;
    // Searches the current record for the change id and the writer. Called after an unknown outcome, once the
    // record no longer has the revision that the write expected.
    std::function<own_write(const store_entry& current)> find_own_write;
    // The lease to which the key is bound; `none` for no lease.
    lease_id lease = lease_id::none;
};

struct conditional_writer_options {
    backoff_options backoff = {};
    // Timeout of a write including all its retries. The last call to the store may exceed it by its own
    // timeout.
    absl::Duration timeout = absl::Seconds(10);
};

// Changes records by compare-and-swap and retries after failures. After an unknown outcome it reads the
// record and repeats the write only if the record still has the revision that the write expected, so the
// change takes effect at most once. Thread safety: none; each thread uses its own writer. The arguments of
// the constructor must outlive the object.
//
// Unlike job_record_writer, which writes many records that only the owner of a shard changes and compares the
// revisions of the owner's keys, this class changes one record that other processes may change at the same
// time, and compares the revision of that record.
class conditional_writer {
public:
    conditional_writer(configuration_store& store, retry_counter& retries, const clock& time_source,
                       absl::BitGenRef random, const conditional_writer_options& options = {});

    // Blocks until the outcome is known, the timeout passes, or `stop` is requested.
    write_result write(const record_change& change, const std::stop_token& stop);

private:
    // A write that was sent and whose outcome is unknown.
    struct pending_write {
        store_revision expected_revision = 0;
        std::string value;
    };
    struct write_state {
        const record_change& change;
        std::optional<pending_write> pending = std::nullopt;
        // The record is known to have at least this revision; reads with a lower one are stale.
        store_revision minimum_revision = 0;
    };

    // Reads the record and tries to write it once. Like the two functions below, returns nullopt if a retry
    // is needed.
    std::optional<write_result> try_write(write_state& state);
    // Determines the outcome of the pending write from a record with another revision, which prevents the
    // write from taking effect later. Returns nullopt if it had no effect.
    std::optional<write_result> resolve_pending(write_state& state, const store_entry* current);
    std::optional<write_result> send_write(write_state& state, store_revision expected_revision,
                                           std::string value);

    configuration_store& store_;
    retry_counter& retries_;
    const clock& clock_;
    absl::BitGenRef random_;
    const conditional_writer_options options_;
};

}  // namespace masticpass

#endif
