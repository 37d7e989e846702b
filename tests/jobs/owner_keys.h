#ifndef MASTICPASS_TESTS_JOBS_OWNER_KEYS_H
#define MASTICPASS_TESTS_JOBS_OWNER_KEYS_H

#include <absl/time/time.h>

#include "fakes/fake_configuration_store.h"
#include "jobs/fenced_writer.h"
#include "jobs/job_keys.h"
#include "jobs/job_record_writer.h"

// Creation of the keys that fence the writes of an owner. Not thread-safe.
namespace masticpass {

// Replaces the owner key of an earlier owner, if there is one, by that of the next.
inline fenced_writer::owner_key replace_owner_key(fakes::fake_configuration_store& store) {
    fenced_writer::owner_key key{
        .key = "owner", .value = "me", .lease = *store.grant_lease(absl::Seconds(2))};
    store.remove(key.key);
    key.create_revision = *store.compare_and_swap(key.key, 0, key.value, key.lease);
    key.last_revision = key.create_revision;
    return key;
}

// Creates the owner key and the keys of the partitions as owner_election does. Precondition: there are none.
inline fenced_writer::owner_key create_owner_keys(fakes::fake_configuration_store& store) {
    fenced_writer::owner_key key{.key = job_keys::owner(0), .value = "me"};
    key.lease = *store.grant_lease(absl::Seconds(2));
    store_transaction creation{.expectations = {{.key = key.key}},
                               .writes = {{.key = key.key, .value = key.value, .lease = key.lease}}};
    for (std::size_t partition = 0; partition < job_record_writer::partition_count; ++partition) {
        creation.expectations.push_back({.key = job_keys::owner_partition(0, partition)});
        creation.writes.push_back(
            {.key = job_keys::owner_partition(0, partition), .value = key.value, .lease = key.lease});
    }
    key.create_revision = *store.transact(creation);
    key.last_revision = key.create_revision;
    return key;
}

}  // namespace masticpass

#endif
