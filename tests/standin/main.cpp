#include <iostream>
#include <string_view>

#include "standin/platform_standin.h"

int main(int argc, const char* const* argv) {
    const std::string_view subcommand = argc > 1 ? argv[1] : "";
    if (subcommand == "platform") {
        return masticpass::standin::run_platform_standin(argc - 1, argv + 1);
    }
    std::cerr << "usage: masticpass_standin platform [options]\n";
    return 2;
}
