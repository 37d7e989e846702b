#ifndef MASTICPASS_STANDIN_PLATFORM_STANDIN_H
#define MASTICPASS_STANDIN_PLATFORM_STANDIN_H

namespace masticpass::standin {

// Runs the stand-in for the platform until SIGTERM or SIGINT. Prints the listen address once the server
// accepts connections. Returns the exit status of the process.
int run_platform_standin(int argc, const char* const* argv);

}  // namespace masticpass::standin

#endif
