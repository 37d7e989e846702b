#ifndef MASTICPASS_FAKES_FAKE_VM_LIST_H
#define MASTICPASS_FAKES_FAKE_VM_LIST_H

#include <functional>
#include <optional>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "vm/vm_list.h"

namespace masticpass::fakes {

// A VM list in memory that a test fills.
// Thread safety: all methods may be called from any thread.
class fake_vm_list final : public vm_list {
public:
    tl::expected<std::optional<vm_listing>, vm_list_error> list(
        const zone_name& zone, std::optional<std::int64_t> known_index) override;

    // Replaces the VM with the same id, or adds it.
    void set_vm(const listed_vm& vm);
    void remove_vm(const vm_id& vm);
    // While set, all calls fail.
    void set_down(bool down);
    // While set, calls return the list as it was when this was set.
    void set_old_data(bool old_data);
    // Sets a function that is called before each call, without a lock held, for example to delay it.
    void set_hook(std::function<void()> hook);

private:
    mutable absl::Mutex mutex_;
    vm_listing listing_ ABSL_GUARDED_BY(mutex_) = {.index = 1, .vms = {}};
    std::optional<vm_listing> old_listing_ ABSL_GUARDED_BY(mutex_);
    bool is_down_ ABSL_GUARDED_BY(mutex_) = false;
    std::function<void()> hook_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
