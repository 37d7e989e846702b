#ifndef MASTICPASS_STANDIN_BACKEND_STANDIN_H
#define MASTICPASS_STANDIN_BACKEND_STANDIN_H

namespace masticpass::standin {

// Runs a stand-in backend server until SIGTERM. Options: --listen IP:port, --slots N.
// A request body is a JSON object: `job` names the job, `run_ms` its run time, `response_bytes` the response
// size. `POST /control/behaviour` sets members of backend_behaviour; `POST /control/silence` silences the
// open connections; `POST /control/reboot` lets running requests finish and ends the leaving state; `GET
// /control/counters` reports.
int run_backend_standin(int argument_count, const char* const* arguments);

}  // namespace masticpass::standin

#endif
