#include "common/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace masticpass {

void check_invariant(bool holds, const char* description) {
    if (holds) {
        return;
    }
    std::fprintf(stderr, "invariant broken: %s\n", description);
    std::abort();
}

}  // namespace masticpass
