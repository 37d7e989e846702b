#ifndef MASTICPASS_SETTINGS_SETTINGS_ERROR_H
#define MASTICPASS_SETTINGS_SETTINGS_ERROR_H

#include <string>
#include <vector>

namespace masticpass {

// One mistake in a settings file.
struct settings_error {
    std::string file;
    // Counted from 1; 0 if the mistake concerns the file as a whole.
    int line = 0;
    // Path of the key, for example `limits.queue_bytes` or `peers[2].address`; empty for the file as a whole.
    std::string key;
    // What is wrong and what is allowed.
    std::string message;
};

using settings_errors = std::vector<settings_error>;

// `file:line: key: message`.
std::string to_string(const settings_error& error);

}  // namespace masticpass

#endif
