#include "vm/http_vm_control.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "http/url_escape.h"
#include "store/etcd_messages.h"

namespace masticpass {

namespace {

constexpr int status_first_success = 200;
constexpr int status_first_redirect = 300;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_first_server_error = 500;

reboot_error to_reboot_error(const http_response& response) {
    reboot_error error;
    error.message = absl::StrCat("HTTP status ", response.status);
    if (response.status == status_conflict) {
        error.kind = reboot_error_kind::boot_changed;
        if (const auto body = etcd::parse_object(response.body)) {
            error.current_boot = boot_id(etcd::string_member(*body, "boot_id"));
        }
    } else if (response.status == status_not_found) {
        error.kind = reboot_error_kind::unknown_vm;
    } else if (response.status < status_first_server_error) {
        error.kind = reboot_error_kind::unavailable;
    }
    return error;
}

}  // namespace

http_vm_control::http_vm_control(std::string address, const http_connection_limits& limits)
    : client_(std::move(address), limits) {}

tl::expected<void, reboot_error> http_vm_control::reboot(const reboot_request& request) {
    Json::Value body;
    body["operation_id"] = request.operation.value();
    body["expected_boot_id"] = request.expected_boot.value();
    body["pool"] = request.pool.value();
    const std::string path = absl::StrCat("/vms/", url_escape(request.vm.value()), "/reboot");
    const auto response = client_.post(path, etcd::to_text(body));
    if (!response) {
        const http_failure& failure = response.error();
        return tl::make_unexpected(reboot_error{.kind = failure.may_have_been_received
                                                            ? reboot_error_kind::unknown_outcome
                                                            : reboot_error_kind::unavailable,
                                                .message = failure.message});
    }
    if (response->status >= status_first_success && response->status < status_first_redirect) {
        return {};
    }
    return tl::make_unexpected(to_reboot_error(*response));
}

}  // namespace masticpass
