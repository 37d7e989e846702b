#ifndef MASTICPASS_SETTINGS_SETTINGS_ERROR_H
#define MASTICPASS_SETTINGS_SETTINGS_ERROR_H

#include <string>
#include <vector>

namespace masticpass {

// An error in a settings file.
struct settings_error {
    std::string file;
    // Counts from 1; 0 if the error concerns the file as a whole.
    int line = 0;
    // Path of the key, for example `limits.queue_bytes` or `peers[2].address`; empty for the file as a whole.
    std::string key;
    // Describes what is wrong and which values are valid.
    std::string message;
};

using settings_errors = std::vector<settings_error>;

// Returns `file:line: key: message`, or `file:line: message` if the key is empty.
std::string to_string(const settings_error& error);

}  // namespace masticpass

#endif
