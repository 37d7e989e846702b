#ifndef MASTICPASS_AGENT_ALLOTMENT_JSON_H
#define MASTICPASS_AGENT_ALLOTMENT_JSON_H

#include <optional>
#include <string>

#include "decision/serving/allotment_record.h"

namespace masticpass {

// Returns the value of the store key `zones/<zone>/allotment`. It needs no change id: each incarnation is
// added only once, so a member that finds its own incarnation in the record knows that its write took effect.
std::string serialize(const allotment_record& record);

// Parses the text that serialize() returns; nullopt for any other text.
std::optional<allotment_record> parse_allotment_record(const std::string& text);

}  // namespace masticpass

#endif
