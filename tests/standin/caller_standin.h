#ifndef MASTICPASS_STANDIN_CALLER_STANDIN_H
#define MASTICPASS_STANDIN_CALLER_STANDIN_H

namespace masticpass::standin {

// Runs a stand-in for callers. Sends each request to a healthy entry VM, which a stand-in for the platform's
// load balancer chooses, and prints the counters of the responses as one JSON object. --help lists the
// options. Returns the exit status of the process.
int run_caller_standin(int argument_count, const char* const* arguments);

}  // namespace masticpass::standin

#endif
