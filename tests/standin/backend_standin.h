#ifndef MASTICPASS_STANDIN_BACKEND_STANDIN_H
#define MASTICPASS_STANDIN_BACKEND_STANDIN_H

namespace masticpass::standin {

// Runs a stand-in for a backend server until SIGTERM or SIGINT. Returns the exit status of the process.
// Options: --host IP, --port N, --slots N.
// `POST /run` runs a job. Its body is a JSON object: `job` is the name of the job, `run_ms` its run time,
// `response_bytes` the size of the response, and `fail` makes the job fail.
// `POST /control/behaviour` sets members of backend_behaviour. `POST /control/silence` makes the open
// connections silent. `POST /control/reboot` waits until the running jobs have ended, then ends the leaving
// state. `GET /control/counters` returns the counters, and `GET /control/runs` how many times each job was
// started.
int run_backend_standin(int argument_count, const char* const* arguments);

}  // namespace masticpass::standin

#endif
