#ifndef MASTICPASS_BACKEND_CONNECTION_POOL_H
#define MASTICPASS_BACKEND_CONNECTION_POOL_H

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "backend/connection.h"

namespace masticpass {

// An idle connection and how long it was idle.
struct idle_connection {
    std::unique_ptr<connection> link;
    absl::Duration idle_time;
};

// Idle connections to servers, spread over shards by address. Each shard has its own lock.
// Thread safety: all methods may be called from any thread.
class connection_pool {
public:
    // A connection that was idle for longer than `idle_timeout` is closed instead of returned. At most
    // `maximum_idle_connections_per_server` connections are kept for each server.
    connection_pool(absl::Duration idle_timeout, std::size_t maximum_idle_connections_per_server);

    // Removes and returns the most recently used open connection to `address`; `link` is null if there is
    // none.
    idle_connection take(std::string_view address, absl::Time now);

    // Keeps a connection whose last exchange succeeded. Closes it if the maximum number of idle connections
    // to the server is reached.
    void put_back(std::string_view address, std::unique_ptr<connection> link, absl::Time now);

    // Closes all idle connections to `address`.
    void discard(std::string_view address);

    // Closes the connections that were idle for longer than the idle timeout.
    void close_stale(absl::Time now);

private:
    struct idle_entry {
        std::unique_ptr<connection> link;
        absl::Time since;
    };
    struct shard {
        absl::Mutex mutex;
        absl::flat_hash_map<std::string, std::vector<idle_entry>> idle ABSL_GUARDED_BY(mutex);
    };
    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const std::string& address);

    absl::Duration idle_timeout_;
    std::size_t maximum_idle_connections_per_server_;
    std::array<shard, shard_count> shards_;
};

}  // namespace masticpass

#endif
