#include "telemetry/guarded_call.h"

#include <exception>
#include <string>
#include <utility>

#include "telemetry/log.h"

namespace masticpass {

namespace {

void log_exception(std::string_view task, std::string message) {
    log_event(log_severity::error, "unexpected_exception",
              {{"task", std::string(task)}, {"message", std::move(message)}});
}

}  // namespace

bool call_guarded(std::string_view task, absl::FunctionRef<void()> body) {
    try {
        body();
        return true;
    } catch (const std::exception& exception) {
        log_exception(task, exception.what());
    } catch (...) {
        log_exception(task, "not a standard exception");
    }
    return false;
}

}  // namespace masticpass
