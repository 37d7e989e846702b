#ifndef MASTICPASS_HTTP_URL_ESCAPE_H
#define MASTICPASS_HTTP_URL_ESCAPE_H

#include <string>
#include <string_view>

namespace masticpass {

// Percent-encodes all bytes but the unreserved characters of URLs. '/' is encoded as well.
std::string url_escape(std::string_view text);

}  // namespace masticpass

#endif
