#ifndef MASTICPASS_TELEMETRY_LOG_H
#define MASTICPASS_TELEMETRY_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace masticpass {

enum class log_severity { debug, info, warning, error };

// One named value of a log record.
struct log_field {
    std::string_view name;
    std::string value;
};

// Sets up Boost.Log to write one JSON object per line to the standard error stream. Records below `minimum`
// are dropped. Call once, before other threads start.
void start_logging(log_severity minimum);

// Writes one record with an event name in snake_case and its fields.
// Thread safety: may be called from any thread.
void log_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields = {});

}  // namespace masticpass

#endif
