#ifndef MASTICPASS_DECISION_SERVING_REQUEST_IDENTITY_H
#define MASTICPASS_DECISION_SERVING_REQUEST_IDENTITY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/identifier.h"

namespace masticpass {

// Identity of a request that must not be repeated, written as `<incarnation>.<sequence>`. Only the issuing
// incarnation may run the request.
struct request_identity {
    incarnation_id issuer;
    std::uint64_t sequence = 0;

    // Reads the written form; nullopt if the text has another form. Sequence numbers have no leading zeros,
    // so each identity has one written form.
    static std::optional<request_identity> parse(std::string_view text);

    std::string to_string() const;

    friend bool operator==(const request_identity&, const request_identity&) = default;
};

}  // namespace masticpass

#endif
