#include <iostream>

#include "application/command_line.h"

int main(int argc, char** argv) {
    return masticpass::run_command_line(argc, argv, {.out = std::cout, .err = std::cerr, .serve = nullptr});
}
