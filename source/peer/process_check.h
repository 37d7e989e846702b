#ifndef MASTICPASS_PEER_PROCESS_CHECK_H
#define MASTICPASS_PEER_PROCESS_CHECK_H

#include <absl/time/time.h>

#include "settings/socket_address.h"

namespace masticpass {

// Returns true only if the host refuses the connection, which proves that no process listens at the address.
// A host that does not respond or is reported unreachable proves nothing. Neither does a suspended process,
// since its kernel still accepts connections. Thread safety: may be called from any thread. Returns within
// `timeout`.
bool is_process_terminated(const socket_address& address, absl::Duration timeout);

}  // namespace masticpass

#endif
