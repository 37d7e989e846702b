#ifndef MASTICPASS_DECISION_SERVING_REQUEST_IDENTITY_H
#define MASTICPASS_DECISION_SERVING_REQUEST_IDENTITY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/identifier.h"

namespace masticpass {

// Identity of a request that must run at most once, written as `<incarnation>.<sequence>`. Only the
// incarnation that issued the identity may run the request.
struct request_identity {
    incarnation_id issuer;
    std::uint64_t sequence = 0;

    // Parses the written form; nullopt if the text is malformed. Sequence numbers with leading zeros are
    // rejected, so that each identity has exactly one written form.
    static std::optional<request_identity> parse(std::string_view text);

    std::string to_string() const;

    friend bool operator==(const request_identity&, const request_identity&) = default;
};

}  // namespace masticpass

#endif
