#include "common/attempt_state.h"

namespace masticpass {

std::string_view to_string(attempt_state state) {
    switch (state) {
        case attempt_state::running:
            return "running";
        case attempt_state::unknown:
            return "unknown";
        case attempt_state::not_stated:
            return "not-stated";
        case attempt_state::not_answered:
            break;
    }
    return "not-answered";
}

}  // namespace masticpass
