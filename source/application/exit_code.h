#ifndef MASTICPASS_APPLICATION_EXIT_CODE_H
#define MASTICPASS_APPLICATION_EXIT_CODE_H

namespace masticpass {

// Exit codes of the command line, for scripts.
namespace exit_code {

inline constexpr int ok = 0;
// The command was refused or invalid and had no effect.
inline constexpr int refused = 1;
// The command line was invalid.
inline constexpr int usage = 2;
// Another change was accepted first; the command had no effect.
inline constexpr int conflict = 3;
// The entry VM or its store cannot be reached; the command had no effect.
inline constexpr int unreachable = 4;
// The command may have taken effect.
inline constexpr int unknown_outcome = 5;

}  // namespace exit_code

}  // namespace masticpass

#endif
