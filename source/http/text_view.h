#ifndef MASTICPASS_HTTP_TEXT_VIEW_H
#define MASTICPASS_HTTP_TEXT_VIEW_H

#include <string_view>

#include <absl/strings/string_view.h>

namespace masticpass {

// Converts to the string view of Abseil, which is built with a type of its own, without a conversion from
// std::string_view.
inline absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

}  // namespace masticpass

#endif
