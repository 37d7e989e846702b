#ifndef MASTICPASS_DECISION_CONFIGURATION_REVISION_GATE_H
#define MASTICPASS_DECISION_CONFIGURATION_REVISION_GATE_H

#include <cstdint>

namespace masticpass {

enum class gate_result { newer, same, older };

// Decides whether a configuration that arrived replaces the one in force. The revision in force never goes
// down, also when the store or a peer responds with older data. Not thread-safe.
class revision_gate {
public:
    // Takes a newer revision into force and reports how the offered one compared to the one in force before.
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

    // How many older revisions were offered and refused.
    std::int64_t refused_older_count() const { return refused_older_count_; }

private:
    std::int64_t revision_ = 0;
    std::int64_t refused_older_count_ = 0;
};

}  // namespace masticpass

#endif
