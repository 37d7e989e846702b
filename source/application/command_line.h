#ifndef MASTICPASS_APPLICATION_COMMAND_LINE_H
#define MASTICPASS_APPLICATION_COMMAND_LINE_H

#include <functional>
#include <ostream>

#include "settings/settings.h"

namespace masticpass {

// The environment of a command line. The streams must outlive the call of run_command_line().
struct command_environment {
    std::ostream& out;
    std::ostream& err;
    // Runs an entry VM until it is stopped and returns the exit code. May be empty in a program that cannot
    // run an entry VM.
    std::function<int(const settings&)> serve;
    // Like `serve`, with the settings that the platform provides.
    std::function<int()> serve_on_platform = nullptr;
};

// Parses and runs a command. Returns a code of exit_code.h, or the result of `serve` or `serve_on_platform`.
int run_command_line(int argc, const char* const* argv, const command_environment& environment);

}  // namespace masticpass

#endif
