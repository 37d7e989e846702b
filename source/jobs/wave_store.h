#ifndef MASTICPASS_JOBS_WAVE_STORE_H
#define MASTICPASS_JOBS_WAVE_STORE_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "decision/jobs/fleet_planner.h"
#include "store/transactional_store.h"

namespace masticpass {

// Store of the maintenance waves that operators request, and of the states of these waves. Thread safety: all
// methods may be called from any thread.
class wave_store {
public:
    wave_store() = default;
    wave_store(const wave_store&) = delete;
    wave_store& operator=(const wave_store&) = delete;
    virtual ~wave_store() = default;

    // Lists all requested waves except for unreadable ones. The error message says why the waves cannot be
    // listed.
    virtual tl::expected<std::vector<wave_request>, std::string> list() = 0;
    // Returns a write that publishes the state of a wave to operators. The caller executes it.
    virtual store_write status_write(const wave_name& wave, bool is_completed) = 0;
};

}  // namespace masticpass

#endif
