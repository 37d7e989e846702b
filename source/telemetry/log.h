#ifndef MASTICPASS_TELEMETRY_LOG_H
#define MASTICPASS_TELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace masticpass {

enum class log_severity { debug, info, warning, error };

// A named value of a log record.
struct log_field {
    std::string_view name;
    std::string value;
};

// Sets up Boost.Log to write one JSON object per line to standard output. Records below `minimum` are
// discarded. A background thread writes the records. While its queue is full, new records are dropped and
// counted, so that a slow reader of the output never blocks the process. Call once, before other threads
// start.
void start_logging(log_severity minimum);

// Returns the number of records dropped since the process started because the output was too slow.
std::uint64_t dropped_log_records();

// Writes the queued records and ends logging. Call before the process ends.
void stop_logging();

// Logs an event, named in snake_case, with its fields. Thread safety: may be called from any thread.
void log_event(log_severity severity, std::string_view event, std::span<const log_field> fields);
inline void log_event(log_severity severity, std::string_view event,
                      std::initializer_list<log_field> fields = {}) {
    log_event(severity, event, std::span<const log_field>(fields.begin(), fields.size()));
}

}  // namespace masticpass

#endif
