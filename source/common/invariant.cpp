#include "common/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace masticpass {

void check_invariant(bool holds, const char* description, std::source_location place) {
    if (holds) {
        return;
    }
    std::fprintf(stderr, "invariant broken: %s (%s:%u)\n", description, place.file_name(),
                 static_cast<unsigned>(place.line()));
    std::abort();
}

}  // namespace masticpass
