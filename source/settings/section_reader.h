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

// Collects the errors found in one file. Not thread-safe.
class error_collector {
public:
    explicit error_collector(std::string file) : file_(std::move(file)) {}

    // `line` counts from 1; it is 0 for an error of the file as a whole.
    void add(int line, std::string key, std::string message);
    const settings_errors& errors() const { return errors_; }

private:
    std::string file_;
    settings_errors errors_;
};

// Reads one mapping of a YAML file. Reports duplicate, unknown and missing keys and invalid values to the
// collector, which must outlive the reader. Not thread-safe.
class section_reader {
public:
    // `path` is the key path of the mapping, empty for the root of the file; `line` is the line of its key.
    // An undefined or null node counts as an empty mapping. Any other node that is not a mapping is reported
    // and then treated as an empty mapping.
    section_reader(const YAML::Node& node, std::string path, int line, error_collector& collector);

    // Sets `target` if the key is present and its value is valid; otherwise leaves it unchanged. Reports an
    // invalid value.
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

    // Like read_optional(), but also reports a missing key.
    template <typename T, typename Parser>
    void read_required(const std::string& key, T& target, const Parser& parser) {
        if (find(key) == nullptr) {
            report(line_, key, "this key is required");
            return;
        }
        read_optional(key, target, parser);
    }

    // Returns a reader of the mapping under the key; of an empty mapping if the key is missing, which is
    // reported if `is_required`.
    section_reader section(const std::string& key, bool is_required);

    // Returns a reader for each element of the list of mappings under the key; none if the key is missing.
    std::vector<section_reader> sections(const std::string& key);

    // Reports each key that none of the methods above has looked up. Call once, after all reads.
    void report_unknown_keys() const;

    // Returns the line of a key, or of this mapping if the key is missing.
    int line(const std::string& key) const;

    // Reports an error of the key.
    void report(int line, std::string_view key, std::string message);

private:
    struct mapping_entry {
        std::string key;
        int line = 0;
        YAML::Node value;
    };

    // Returns the entry of a key; null if the key is missing. Marks the key as known.
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
