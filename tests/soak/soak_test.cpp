#include <cstdlib>
#include <string>

#include <doctest/doctest.h>

#include "soak/soak_run.h"

namespace masticpass::soak {

namespace {

int from_environment(const char* name, int default_value) {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment.
    const char* const value = std::getenv(name);
    return value == nullptr ? default_value : std::stoi(value);
}

void check_seed(unsigned seed) {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): nothing changes the environment.
    const char* const folder = std::getenv("MASTICPASS_SOAK_FOLDER");
    const soak_result result = run_soak({.seed = seed, .folder = folder == nullptr ? "" : folder});
    MESSAGE("seed ", seed, ": ", result.accepted, " accepted, ", result.refused, " refused, ", result.faults,
            " faults, ", result.starts, " starts");
    INFO("seed ", seed);
    for (const std::string& violation : result.violations) {
        FAIL_CHECK(violation);
    }
    CHECK(result.accepted > 0);
}

}  // namespace

// Guards against promises that are broken only when killed and paused processes, connection faults, store
// outages and unresponsive workers coincide: an accepted job that does not complete, or a violation of the
// rules that worker_model checks. MASTICPASS_SOAK_SEED and MASTICPASS_SOAK_COUNT select other seeds.
TEST_CASE("entry VMs keep their promises under random faults") {
    const int first = from_environment("MASTICPASS_SOAK_SEED", 1);
    const int count = from_environment("MASTICPASS_SOAK_COUNT", 3);
    for (int seed = first; seed < first + count; ++seed) {
        check_seed(static_cast<unsigned>(seed));
    }
}

}  // namespace masticpass::soak
