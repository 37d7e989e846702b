#ifndef MASTICPASS_AGENT_FLEET_STATE_H
#define MASTICPASS_AGENT_FLEET_STATE_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "decision/configuration/configuration_record.h"
#include "decision/configuration/revision_gate.h"
#include "decision/maintenance/pool_record.h"
#include "decision/serving/allotment_record.h"
#include "peer/record.h"
#include "telemetry/metrics.h"

namespace masticpass {

// The configuration in force, the pool records and the allotments of all zones, parsed from the records that
// arrive from the store and from peers. Thread safety: all methods may be called from any thread.
class fleet_state {
public:
    using pool_map = std::map<pool_name, stored_pool_record>;

    fleet_state(const zone_name& zone, metrics_registry& metrics) : zone_(zone), metrics_(metrics) {}

    // Applies a new version of a record. A record that cannot be parsed is counted and ignored, and the
    // previous version stays in use.
    void apply(const record& changed);

    // Returns the configuration in force; null if there is none yet.
    std::shared_ptr<const configuration_record> configuration() const;
    std::int64_t configuration_revision() const;
    // Returns how many configurations were refused because they were older than the one in force.
    std::int64_t refused_older_revisions() const;

    // Returns all pool records with their store revisions.
    std::shared_ptr<const pool_map> pools() const;

    // Returns the allotments by zone. Zones without an allotment record are missing.
    std::map<zone_name, allotment_record> allotments() const;
    // Returns the allotment of this entry VM's zone. Its epoch is 0 if there is none.
    allotment_record own_allotment() const;

    // Increases with each call of `apply`.
    std::uint64_t version() const { return version_; }

private:
    void apply_configuration(const record& changed);
    void apply_pool(const record& changed);
    void apply_allotment(const record& changed);
    // Counts and logs a record that cannot be parsed.
    void reject(const record& changed);

    const zone_name zone_;
    metrics_registry& metrics_;
    std::atomic<std::uint64_t> version_ = 0;
    mutable absl::Mutex mutex_;
    revision_gate gate_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<const configuration_record> configuration_ ABSL_GUARDED_BY(mutex_);
    // Each change replaces the whole map, so that readers can share it without copying.
    std::shared_ptr<const pool_map> pools_ ABSL_GUARDED_BY(mutex_) = std::make_shared<const pool_map>();
    // The last applied store revision of each pool key, kept after the record is removed: threads that
    // receive versions of one record may apply them in either order.
    std::map<std::string, std::uint64_t> pool_revisions_ ABSL_GUARDED_BY(mutex_);
    std::map<zone_name, allotment_record> allotments_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
