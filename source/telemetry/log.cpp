#include "telemetry/log.h"

#include <atomic>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <json/json.h>

namespace masticpass {

namespace {

std::atomic<std::uint64_t> dropped_records = 0;

// The overflow policy of the queue: new records are dropped and counted while the queue is full.
class drop_and_count {
public:
    template <typename LockT>
    static bool on_overflow(const boost::log::record_view& /*record*/, LockT& /*lock*/) {
        ++dropped_records;
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

// A record takes about 200 bytes, so a full queue takes about 400 KB.
constexpr std::size_t maximum_waiting_records = 2000;

using output_sink = boost::log::sinks::asynchronous_sink<
    boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<maximum_waiting_records, drop_and_count>>;

boost::shared_ptr<output_sink> active_sink;

constexpr std::string_view severity_name(log_severity severity) {
    switch (severity) {
        case log_severity::debug:
            return "debug";
        case log_severity::info:
            return "info";
        case log_severity::warning:
            return "warning";
        case log_severity::error:
            return "error";
    }
    return "error";
}

// Writes a record as a JSON object: the time, followed by the message, which consists of the other members
// and the closing brace.
void format_record(const boost::log::record_view& record, boost::log::formatting_ostream& stream) {
    const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
    stream << R"({"time":")";
    if (time) {
        stream << boost::posix_time::to_iso_extended_string(*time) << 'Z';
    }
    stream << R"(",)" << record[boost::log::expressions::smessage];
}

// Returns the members that follow the time, and the closing brace.
std::string to_json_members(log_severity severity, std::string_view event,
                            std::span<const log_field> fields) {
    std::string text = R"("severity":")";
    text.append(severity_name(severity));
    text.append(R"(","event":)");
    text.append(Json::valueToQuotedString(std::string(event).c_str()));
    for (const log_field& field : fields) {
        text.push_back(',');
        text.append(Json::valueToQuotedString(std::string(field.name).c_str()));
        text.push_back(':');
        text.append(Json::valueToQuotedString(field.value.c_str()));
    }
    text.push_back('}');
    return text;
}

}  // namespace

void start_logging(log_severity minimum) {
    const auto core = boost::log::core::get();
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    active_sink = boost::make_shared<output_sink>(backend);
    active_sink->set_formatter(&format_record);
    core->add_sink(active_sink);
    core->set_filter([minimum](const boost::log::attribute_value_set& values) {
        const auto severity = values["Severity"].extract<log_severity>();
        return !severity || *severity >= minimum;
    });
}

std::uint64_t dropped_log_records() {
    return dropped_records;
}

void stop_logging() {
    if (active_sink) {
        boost::log::core::get()->remove_sink(active_sink);
        active_sink->stop();
        active_sink->flush();
        active_sink.reset();
    }
}

void log_event(log_severity severity, std::string_view event, std::span<const log_field> fields) {
    boost::log::sources::severity_logger<log_severity> logger;
    BOOST_LOG_SEV(logger, severity) << to_json_members(severity, event, fields);
}

}  // namespace masticpass
