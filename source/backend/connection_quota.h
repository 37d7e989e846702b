#ifndef MASTICPASS_BACKEND_CONNECTION_QUOTA_H
#define MASTICPASS_BACKEND_CONNECTION_QUOTA_H

#include <string>
#include <string_view>
#include <utility>

namespace masticpass {

// Limits the number of connections that this entry VM has open to each backend server.
// Thread safety: implementations allow calls from any thread.
class connection_quota {
public:
    connection_quota() = default;
    connection_quota(const connection_quota&) = delete;
    connection_quota& operator=(const connection_quota&) = delete;
    virtual ~connection_quota() = default;

    // Counts a connection that is about to be opened; false if the limit of the server is reached.
    virtual bool acquire_connection(std::string_view address) = 0;

    // Stops counting a connection that was closed.
    virtual void release_connection(std::string_view address) = 0;
};

// The permission to open one connection, which is counted in the quota until the permit is destroyed. The
// quota must outlive it.
class connection_permit {
public:
    connection_permit() = default;
    connection_permit(connection_quota& quota, std::string address)
        : quota_(&quota), address_(std::move(address)) {}
    connection_permit(connection_permit&& other) noexcept
        : quota_(std::exchange(other.quota_, nullptr)), address_(std::move(other.address_)) {}
    connection_permit& operator=(connection_permit&& other) noexcept {
        std::swap(quota_, other.quota_);
        std::swap(address_, other.address_);
        return *this;
    }
    ~connection_permit() {
        if (quota_ != nullptr) {
            quota_->release_connection(address_);
        }
    }

private:
    connection_quota* quota_ = nullptr;
    std::string address_;
};

}  // namespace masticpass

#endif
