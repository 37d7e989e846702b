#ifndef MASTICPASS_AGENT_ALLOTMENT_JSON_H
#define MASTICPASS_AGENT_ALLOTMENT_JSON_H

#include <optional>
#include <string>

#include "decision/serving/allotment_record.h"

namespace masticpass {

// The content of `zones/<zone>/allotment`. A member's incarnation in the record tells it that its own write
// took effect, and an incarnation is added only once, so the record needs no change id.
std::string serialize(const allotment_record& record);

// nullopt for any other text than serialize() writes.
std::optional<allotment_record> parse_allotment_record(const std::string& text);

}  // namespace masticpass

#endif
