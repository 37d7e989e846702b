#include "settings/section_reader.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace masticpass {

namespace {

int line_of(const YAML::Node& node, int fallback) {
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? fallback : mark.line + 1;
}

}  // namespace

std::string to_string(const settings_error& error) {
    return absl::StrCat(error.file, ":", error.line, ": ", error.key, error.key.empty() ? "" : ": ",
                        error.message);
}

void error_collector::add(int line, std::string key, std::string message) {
    errors_.push_back({.file = file_, .line = line, .key = std::move(key), .message = std::move(message)});
}

section_reader::section_reader(const YAML::Node& node, std::string path, int line, error_collector& collector)
    : path_(std::move(path)), line_(line), collector_(&collector) {
    if (!node.IsDefined() || node.IsNull()) {
        return;
    }
    if (!node.IsMap()) {
        collector_->add(line_of(node, line_), path_, "expected a mapping of keys to values");
        return;
    }
    std::set<std::string> seen;
    for (const auto& pair : node) {
        const int key_line = line_of(pair.first, line_);
        if (!pair.first.IsScalar()) {
            collector_->add(key_line, path_, "expected a single value as the key");
            continue;
        }
        const std::string& key = pair.first.Scalar();
        if (!seen.insert(key).second) {
            report(key_line, key, "duplicate key; expected it only once");
            continue;
        }
        entries_.push_back({key, key_line, pair.second});
    }
}

section_reader section_reader::section(const std::string& key, bool is_required) {
    const mapping_entry* found = find(key);
    if (found == nullptr) {
        if (is_required) {
            report(line_, key, "this section is required");
        }
        return {YAML::Node(), path_of(key), line_, *collector_};
    }
    return {found->value, path_of(key), found->line, *collector_};
}

std::vector<section_reader> section_reader::sections(const std::string& key) {
    std::vector<section_reader> readers;
    const mapping_entry* found = find(key);
    if (found == nullptr || found->value.IsNull()) {
        return readers;
    }
    if (!found->value.IsSequence()) {
        report(found->line, key, "expected a list");
        return readers;
    }
    for (const auto& element : found->value) {
        readers.emplace_back(element, absl::StrCat(path_of(key), "[", readers.size(), "]"),
                             line_of(element, found->line), *collector_);
    }
    return readers;
}

void section_reader::report_unknown_keys() const {
    for (const mapping_entry& entry : entries_) {
        if (!known_keys_.contains(entry.key)) {
            collector_->add(entry.line, path_of(entry.key),
                            absl::StrCat("unknown key; expected one of ", absl::StrJoin(known_keys_, ", ")));
        }
    }
}

int section_reader::line(const std::string& key) const {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const mapping_entry& entry) { return entry.key == key; });
    return found == entries_.end() ? line_ : found->line;
}

void section_reader::report(int line, std::string_view key, std::string message) {
    collector_->add(line, path_of(key), std::move(message));
}

const section_reader::mapping_entry* section_reader::find(const std::string& key) {
    known_keys_.insert(key);
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const mapping_entry& entry) { return entry.key == key; });
    return found == entries_.end() ? nullptr : &*found;
}

std::string section_reader::path_of(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

}  // namespace masticpass
