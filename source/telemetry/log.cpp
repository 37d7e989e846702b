#include "telemetry/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <json/json.h>

namespace masticpass {

namespace {

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

// Writes the JSON object that the record's message starts, with the time in front.
void format_record(const boost::log::record_view& record, boost::log::formatting_ostream& stream) {
    const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
    stream << R"({"time":")";
    if (time) {
        stream << boost::posix_time::to_iso_extended_string(*time) << 'Z';
    }
    stream << R"(",)" << record[boost::log::expressions::smessage];
}

std::string to_json_members(log_severity severity, std::string_view event,
                            std::initializer_list<log_field> fields) {
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
    const auto sink = boost::log::add_console_log(std::cerr);
    sink->set_formatter(&format_record);
    sink->locked_backend()->auto_flush(true);
    core->set_filter([minimum](const boost::log::attribute_value_set& values) {
        const auto severity = values["Severity"].extract<log_severity>();
        return !severity || *severity >= minimum;
    });
}

void log_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields) {
    boost::log::sources::severity_logger<log_severity> logger;
    BOOST_LOG_SEV(logger, severity) << to_json_members(severity, event, fields);
}

}  // namespace masticpass
