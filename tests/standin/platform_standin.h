#ifndef MASTICPASS_STANDIN_PLATFORM_STANDIN_H
#define MASTICPASS_STANDIN_PLATFORM_STANDIN_H

namespace masticpass::standin {

// Runs the stand-in for the platform until the process ends. Prints the listen address once it accepts calls.
// Returns the exit status.
int run_platform_standin(int argc, const char* const* argv);

}  // namespace masticpass::standin

#endif
