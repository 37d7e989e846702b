#include "fakes/fake_vm_control.h"

#include <algorithm>
#include <utility>

namespace masticpass::fakes {

namespace {

tl::unexpected<reboot_error> failure(reboot_error_kind kind, boot_id current = boot_id()) {
    return tl::make_unexpected(
        reboot_error{.kind = kind, .message = "fake VM control", .current_boot = std::move(current)});
}

}  // namespace

tl::expected<void, reboot_error> fake_vm_control::reboot(const reboot_request& request) {
    call_hook hook;
    {
        const absl::MutexLock lock(&mutex_);
        hook = hook_;
    }
    if (hook) {
        hook(request);
    }
    const absl::MutexLock lock(&mutex_);
    requests_.push_back(request);
    if (is_down_) {
        return failure(reboot_error_kind::unavailable);
    }
    if (requests_to_lose_ > 0) {
        --requests_to_lose_;
        return failure(reboot_error_kind::unknown_outcome);
    }
    auto result = start_reboot(request);
    if (responses_to_lose_ > 0) {
        --responses_to_lose_;
        return failure(reboot_error_kind::unknown_outcome);
    }
    return result;
}

tl::expected<void, reboot_error> fake_vm_control::start_reboot(const reboot_request& request) {
    const auto boot = boots_.find(request.vm);
    if (boot == boots_.end()) {
        return failure(reboot_error_kind::unknown_vm);
    }
    if (boot->second != request.expected_boot) {
        return failure(reboot_error_kind::boot_changed, boot->second);
    }
    const bool is_rebooting =
        std::any_of(started_.begin(), started_.end(), [&](const reboot_request& earlier) {
            return earlier.vm == request.vm && earlier.expected_boot == request.expected_boot;
        });
    if (!is_rebooting) {
        started_.push_back(request);
    }
    return {};
}

void fake_vm_control::set_boot(const vm_id& vm, const boot_id& boot) {
    const absl::MutexLock lock(&mutex_);
    boots_[vm] = boot;
}

void fake_vm_control::set_down(bool down) {
    const absl::MutexLock lock(&mutex_);
    is_down_ = down;
}

void fake_vm_control::lose_responses(int count) {
    const absl::MutexLock lock(&mutex_);
    responses_to_lose_ = count;
}

void fake_vm_control::lose_requests(int count) {
    const absl::MutexLock lock(&mutex_);
    requests_to_lose_ = count;
}

void fake_vm_control::set_hook(call_hook hook) {
    const absl::MutexLock lock(&mutex_);
    hook_ = std::move(hook);
}

std::vector<reboot_request> fake_vm_control::requests() const {
    const absl::MutexLock lock(&mutex_);
    return requests_;
}

std::vector<reboot_request> fake_vm_control::started() const {
    const absl::MutexLock lock(&mutex_);
    return started_;
}

}  // namespace masticpass::fakes
