#include <iostream>

#include "application/command_line.h"
#include "application/entry_vm.h"
#include "platform/entry_program.h"

int main(int argc, char** argv) {
    return masticpass::run_command_line(argc, argv,
                                        {.out = std::cout,
                                         .err = std::cerr,
                                         .serve = masticpass::run_entry_vm,
                                         .serve_on_platform = masticpass::platform::run_entry_program});
}
