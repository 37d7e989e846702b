#ifndef MASTICPASS_COMMON_INVARIANT_H
#define MASTICPASS_COMMON_INVARIANT_H

namespace masticpass {

// Ends the process with the description if `holds` is false. It is active in every build: an entry VM whose
// state breaks a promise must not act on that state, and the others take over from a process that is gone.
// Thread safety: may be called from any thread.
void check_invariant(bool holds, const char* description);

}  // namespace masticpass

#endif
