#ifndef MASTICPASS_COMMON_IDENTIFIER_H
#define MASTICPASS_COMMON_IDENTIFIER_H

#include <compare>
#include <ostream>
#include <string>
#include <utility>

namespace masticpass {

// A strongly typed string identifier, so that a pool name cannot be passed where a VM id is expected.
// Thread safety: as for std::string.
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : value_(std::move(value)) {}

    const std::string& value() const { return value_; }
    bool empty() const { return value_.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons.
    friend auto operator<=>(const identifier&, const identifier&) = default;
    // Declared in addition to <=>, since clang-tidy mistakes the 0 in a rewritten comparison for a null
    // pointer.
    friend bool operator<(const identifier& left, const identifier& right) {
        return left.value_ < right.value_;
    }
    friend bool operator==(const identifier&, const identifier&) = default;

    template <typename HashState>
    friend HashState AbslHashValue(HashState state, const identifier& id) {
        return HashState::combine(std::move(state), id.value_);
    }

    friend std::ostream& operator<<(std::ostream& stream, const identifier& id) {
        return stream << id.value_;
    }

private:
    std::string value_;
};

using vm_id = identifier<struct vm_id_tag>;
using pool_name = identifier<struct pool_name_tag>;
using service_name = identifier<struct service_name_tag>;
using team_name = identifier<struct team_name_tag>;
using wave_name = identifier<struct wave_name_tag>;
using region_name = identifier<struct region_name_tag>;
using zone_name = identifier<struct zone_name_tag>;
using rack_name = identifier<struct rack_name_tag>;
using entry_id = identifier<struct entry_id_tag>;
// Identifies one run of an entry VM process; a restart or a replacement gets a new one.
using incarnation_id = identifier<struct incarnation_id_tag>;
// Identifies one boot of a VM, as reported by the platform.
using boot_id = identifier<struct boot_id_tag>;
using operation_id = identifier<struct operation_id_tag>;
using change_id = identifier<struct change_id_tag>;
using request_id = identifier<struct request_id_tag>;
using attempt_id = identifier<struct attempt_id_tag>;
using job_kind = identifier<struct job_kind_tag>;

}  // namespace masticpass

#endif
