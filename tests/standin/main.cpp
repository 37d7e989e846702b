#include <cstdio>
#include <cstring>

#include "standin/backend_standin.h"

// Usage: masticpass_standin backend|platform OPTIONS
int main(int argument_count, char** arguments) {
    if (argument_count >= 2 && std::strcmp(arguments[1], "backend") == 0) {
        return masticpass::standin::run_backend_standin(argument_count - 1, arguments + 1);
    }
    std::fputs("usage: masticpass_standin backend|platform OPTIONS\n", stderr);
    return 2;
}
