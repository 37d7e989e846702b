#include "http/url_escape.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

namespace masticpass {

std::string url_escape(std::string_view text) {
    constexpr std::string_view unreserved_marks = "-._~";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || unreserved_marks.find(character) != std::string_view::npos) {
            escaped.push_back(character);
        } else {
            absl::StrAppendFormat(&escaped, "%%%02X", byte);
        }
    }
    return escaped;
}

}  // namespace masticpass
