#include <cstdio>
#include <string_view>

#include "standin/backend_standin.h"
#include "standin/caller_standin.h"
#include "standin/platform_standin.h"

// Usage: masticpass_standin backend|caller|platform OPTIONS
int main(int argument_count, char** arguments) {
    const std::string_view kind = argument_count >= 2 ? arguments[1] : "";
    if (kind == "backend") {
        return masticpass::standin::run_backend_standin(argument_count - 1, arguments + 1);
    }
    if (kind == "caller") {
        return masticpass::standin::run_caller_standin(argument_count - 1, arguments + 1);
    }
    if (kind == "platform") {
        return masticpass::standin::run_platform_standin(argument_count - 1, arguments + 1);
    }
    std::fputs("usage: masticpass_standin backend|caller|platform OPTIONS\n", stderr);
    return 2;
}
