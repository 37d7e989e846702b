#include "fakes/fake_vm_list.h"

#include <algorithm>
#include <utility>

namespace masticpass::fakes {

tl::expected<std::optional<vm_listing>, vm_list_error> fake_vm_list::list(
    const zone_name& zone, std::optional<std::int64_t> known_index) {
    std::function<void()> hook;
    {
        const absl::MutexLock lock(&mutex_);
        hook = hook_;
    }
    if (hook) {
        hook();
    }
    const absl::MutexLock lock(&mutex_);
    if (is_down_) {
        return tl::make_unexpected(vm_list_error{"fake: down"});
    }
    vm_listing result = old_listing_.value_or(listing_);
    if (known_index == result.index) {
        return std::nullopt;
    }
    std::erase_if(result.vms, [&](const listed_vm& vm) { return !zone.empty() && vm.zone != zone; });
    return result;
}

void fake_vm_list::set_vm(const listed_vm& vm) {
    const absl::MutexLock lock(&mutex_);
    ++listing_.index;
    const auto found = std::find_if(listing_.vms.begin(), listing_.vms.end(),
                                    [&](const listed_vm& known) { return known.vm == vm.vm; });
    if (found == listing_.vms.end()) {
        listing_.vms.push_back(vm);
    } else {
        *found = vm;
    }
}

void fake_vm_list::remove_vm(const vm_id& vm) {
    const absl::MutexLock lock(&mutex_);
    ++listing_.index;
    std::erase_if(listing_.vms, [&](const listed_vm& known) { return known.vm == vm; });
}

void fake_vm_list::set_down(bool down) {
    const absl::MutexLock lock(&mutex_);
    is_down_ = down;
}

void fake_vm_list::set_old_data(bool old_data) {
    const absl::MutexLock lock(&mutex_);
    old_listing_ = old_data ? std::optional(listing_) : std::nullopt;
}

void fake_vm_list::set_hook(std::function<void()> hook) {
    const absl::MutexLock lock(&mutex_);
    hook_ = std::move(hook);
}

}  // namespace masticpass::fakes
