#ifndef MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_PROBLEM_H
#define MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_PROBLEM_H

#include <string>
#include <vector>

namespace masticpass {

// One reason why a configuration, a change or a record is invalid.
struct configuration_problem {
    // The section or member, for example `pool/weaving.budget.max_unavailable`; empty for the whole document.
    std::string path;
    std::string message;

    friend bool operator==(const configuration_problem&, const configuration_problem&) = default;
};

using configuration_problems = std::vector<configuration_problem>;

// Returns `path: message`, or only the message if the path is empty.
inline std::string to_string(const configuration_problem& problem) {
    return problem.path.empty() ? problem.message : problem.path + ": " + problem.message;
}

}  // namespace masticpass

#endif
