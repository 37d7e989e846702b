#ifndef MASTICPASS_COMMON_INVARIANT_H
#define MASTICPASS_COMMON_INVARIANT_H

namespace masticpass {

// Aborts the process and prints the description if `holds` is false. It is active in every build type: an
// entry VM with an inconsistent state must not act on that state, and the other entry VMs take over from a
// terminated process.
// Thread safety: may be called from any thread.
void check_invariant(bool holds, const char* description);

}  // namespace masticpass

#endif
