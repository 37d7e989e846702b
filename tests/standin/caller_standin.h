#ifndef MASTICPASS_STANDIN_CALLER_STANDIN_H
#define MASTICPASS_STANDIN_CALLER_STANDIN_H

namespace masticpass::standin {

// Sends requests through a stand-in for the platform's balancer, which sends each request to an entry VM
// whose health address answers, and prints what came back as one JSON object. Options: see --help.
int run_caller_standin(int argument_count, const char* const* arguments);

}  // namespace masticpass::standin

#endif
