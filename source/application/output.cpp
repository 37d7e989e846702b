#include "application/output.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "application/exit_code.h"
#include "decision/configuration/json_object_reader.h"
#include "operations/view_json.h"

namespace masticpass {

namespace {

using table_row = std::vector<std::string>;

// Returns the text of a table cell. Control characters are replaced, since the terminal would interpret them.
std::string to_cell(const Json::Value& value) {
    std::string text;
    if (value.isArray() && std::all_of(value.begin(), value.end(),
                                       [](const Json::Value& element) { return element.isString(); })) {
        for (const Json::Value& element : value) {
            text += (text.empty() ? "" : ", ") + element.asString();
        }
    } else {
        text = value.isString() ? value.asString() : write_json(value);
    }
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; },
        '?');
    return text.empty() ? "-" : text;
}

void print_rows(std::ostream& out, const std::vector<table_row>& rows) {
    std::vector<std::size_t> widths;
    for (const table_row& row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const table_row& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool is_last = column + 1 == row.size();
            out << row[column] << std::string(is_last ? 0 : widths[column] - row[column].size() + 2, ' ');
        }
        out << "\n";
    }
}

bool is_table(const Json::Value& value) {
    return value.isArray() && !value.empty() && value[0].isObject();
}

void print_table(std::ostream& out, const Json::Value& objects) {
    const std::vector<std::string> names = objects[0].getMemberNames();
    std::vector<table_row> rows = {names};
    for (const Json::Value& object : objects) {
        table_row row;
        for (const std::string& name : names) {
            row.push_back(to_cell(object[name]));
        }
        rows.push_back(std::move(row));
    }
    print_rows(out, rows);
}

void print_object(std::ostream& out, const Json::Value& object) {
    std::vector<table_row> rows;
    for (const std::string& name : object.getMemberNames()) {
        if (!is_table(object[name]) && !object[name].isObject()) {
            rows.push_back({name, to_cell(object[name])});
        }
    }
    print_rows(out, rows);
    for (const std::string& name : object.getMemberNames()) {
        if (is_table(object[name])) {
            out << "\n" << name << ":\n";
            print_table(out, object[name]);
        } else if (object[name].isObject()) {
            out << "\n" << name << ":\n";
            print_object(out, object[name]);
        }
    }
}

// Replaces each section with its compact JSON, so that it is printed as one row. Sections have different
// members and therefore no common columns.
Json::Value flatten_sections(Json::Value result) {
    if (result.isObject() && result["sections"].isObject()) {
        Json::Value rows(Json::objectValue);
        for (const std::string& name : result["sections"].getMemberNames()) {
            rows[name] = write_json(result["sections"][name]);
        }
        result["sections"] = rows;
    }
    return result;
}

void print_json(std::ostream& stream, const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    stream << Json::writeString(builder, value) << "\n";
}

}  // namespace

void print_result(std::ostream& out, const Json::Value& result, bool as_json) {
    if (as_json) {
        print_json(out, result);
    } else if (is_table(result)) {
        print_table(out, result);
    } else if (result.isObject()) {
        print_object(out, result.isMember("sections") ? flatten_sections(result) : result);
    } else {
        out << (result.isArray() && result.empty() ? "none" : to_cell(result)) << "\n";
    }
}

void print_error(std::ostream& err, const operations_error& error, bool as_json) {
    if (as_json) {
        Json::Value object(Json::objectValue);
        object["error"] = error_data_to_json(error);
        object["error"]["code"] = std::string(to_string(error.code));
        object["error"]["message"] = error.message;
        print_json(err, object);
        return;
    }
    err << to_string(error.code) << ": " << to_cell(error.message) << "\n";
    for (const configuration_problem& problem : error.problems) {
        err << "  " << to_cell(to_string(problem)) << "\n";
    }
    for (const section_conflict& conflict : error.conflicts) {
        err << "  " << to_string(conflict.section) << ": last changed by "
            << (conflict.author.empty() ? "an unknown author" : to_cell(conflict.author)) << " at revision "
            << conflict.revision << "\n";
    }
}

int to_exit_code(operations_error_code code) {
    switch (code) {
        case operations_error_code::invalid:
        case operations_error_code::not_found:
        case operations_error_code::budget_exhausted:
            return exit_code::refused;
        case operations_error_code::conflict:
            return exit_code::conflict;
        case operations_error_code::unavailable:
        case operations_error_code::unreachable:
            return exit_code::unreachable;
        case operations_error_code::unknown_outcome:
        case operations_error_code::internal:
            return exit_code::unknown_outcome;
    }
    return exit_code::unknown_outcome;
}

}  // namespace masticpass
