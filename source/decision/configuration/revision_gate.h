#ifndef MASTICPASS_DECISION_CONFIGURATION_REVISION_GATE_H
#define MASTICPASS_DECISION_CONFIGURATION_REVISION_GATE_H

#include <cstdint>

namespace masticpass {

// How an offered revision compares to the revision in force.
enum class gate_result { newer, same, older };

// Decides whether a received configuration replaces the one in force. The revision in force never decreases,
// even if the store or a peer returns older data. Not thread-safe.
class revision_gate {
public:
    // Puts a newer revision in force. Returns how the offered revision compares to the one previously in
    // force.
    gate_result offer(std::int64_t revision) {
        if (revision > revision_) {
            revision_ = revision;
            return gate_result::newer;
        }
        if (revision == revision_) {
            return gate_result::same;
        }
        ++refused_older_count_;
        return gate_result::older;
    }

    // The revision in force; 0 before the first one.
    std::int64_t revision() const { return revision_; }

    // Number of offered revisions that were refused because they were older.
    std::int64_t refused_older_count() const { return refused_older_count_; }

private:
    std::int64_t revision_ = 0;
    std::int64_t refused_older_count_ = 0;
};

}  // namespace masticpass

#endif
