#ifndef MASTICPASS_SETTINGS_SECTION_READER_H
#define MASTICPASS_SETTINGS_SECTION_READER_H

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "settings/settings_error.h"
#include "settings/value_parser.h"

namespace masticpass {

// Collects the mistakes found in one file. Not thread-safe.
class error_collector {
public:
    explicit error_collector(std::string file) : file_(std::move(file)) {}

    // `line` counts from 1; 0 for the file as a whole.
    void add(int line, std::string key, std::string message);
    const settings_errors& errors() const { return errors_; }

private:
    std::string file_;
    settings_errors errors_;
};

// Reads one mapping of a YAML file and reports every key that is duplicate, unknown, missing or wrong to the
// collector, which must outlive it. Not thread-safe.
class section_reader {
public:
    // `path` is the key path of the mapping, empty for the whole file; `line` is where its own key is.
    // A node that is no mapping is reported and then read as an empty one.
    section_reader(const YAML::Node& node, std::string path, int line, error_collector& collector);

    // Sets `target` if the key is present and its value is right; otherwise leaves it as it is.
    template <typename T, typename Parser>
    void read_optional(const std::string& key, T& target, const Parser& parser) {
        const auto* found = find(key);
        if (found == nullptr) {
            return;
        }
        if (!found->value.IsScalar()) {
            report(found->line, key, "expected a single value");
            return;
        }
        auto value = parser(found->value.Scalar());
        if (!value) {
            report(found->line, key, value.error() + "; got '" + found->value.Scalar().substr(0, 80) + "'");
            return;
        }
        target = T(*std::move(value));
    }

    // As read_optional, but reports a missing key.
    template <typename T, typename Parser>
    void read_required(const std::string& key, T& target, const Parser& parser) {
        if (find(key) == nullptr) {
            report(line_, key, "this key is required");
            return;
        }
        read_optional(key, target, parser);
    }

    // A reader of the mapping under the key, empty if it is missing.
    section_reader section(const std::string& key, bool is_required);

    // A reader for each element of the sequence of mappings under the key; none if it is missing.
    std::vector<section_reader> sections(const std::string& key);

    // Reports each key that no read method asked for. Call once, after all reads.
    void report_unknown_keys() const;

    // The line of a key, or of this mapping if the key is missing.
    int line(const std::string& key) const;

    // Reports a mistake of this key.
    void report(int line, std::string_view key, std::string message);

private:
    struct mapping_entry {
        std::string key;
        int line = 0;
        YAML::Node value;
    };

    const mapping_entry* find(const std::string& key);
    std::string path_of(std::string_view key) const;

    std::string path_;
    int line_;
    error_collector* collector_;
    std::vector<mapping_entry> entries_;
    std::set<std::string> known_keys_;
};

}  // namespace masticpass

#endif
