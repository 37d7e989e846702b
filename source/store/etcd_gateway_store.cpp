#include "store/etcd_gateway_store.h"

#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "common/clock.h"
#include "http/text_view.h"
#include "store/etcd_messages.h"

namespace masticpass {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_payload_too_large = 413;
constexpr int status_first_server_error = 500;

// Returns the kind of error of an error response. Most errors of the store can be recognised only by the text
// that the gateway reports.
store_error_kind response_error_kind(int status, std::string_view message, bool is_write) {
    if (status == status_payload_too_large || absl::StrContains(to_absl(message), "request is too large")) {
        return store_error_kind::too_large;
    }
    if (status == status_not_found && absl::StrContains(to_absl(message), "lease not found")) {
        return store_error_kind::not_found;
    }
    // A store without a leader refuses a request before it proposes the write. After other server errors, for
    // example a timeout inside the store, the outcome of a write is unknown.
    const bool refused =
        status < status_first_server_error || absl::StrContains(to_absl(message), "no leader");
    return is_write && !refused ? store_error_kind::unknown_outcome : store_error_kind::unavailable;
}

std::string error_text(std::string_view body) {
    const auto message = etcd::parse_object(body);
    if (!message) {
        return std::string(body);
    }
    std::string text = etcd::string_member(*message, "message");
    return text.empty() ? etcd::string_member(*message, "error") : text;
}

store_error to_store_error(const http_failure& failure, bool is_write) {
    const bool unknown = is_write && failure.may_have_been_received;
    return {.kind = unknown ? store_error_kind::unknown_outcome : store_error_kind::unavailable,
            .message = failure.message};
}

// Splits a watch stream into messages, one per line, and parses them until one of them has a result.
class watch_stream_reader {
public:
    explicit watch_stream_reader(store_revision after_revision) { result_.revision = after_revision; }

    // Processes the next bytes of the stream. Returns false once the result is complete or the stream has
    // reported an error.
    bool receive(std::string_view chunk) {
        buffer_.append(chunk);
        for (std::size_t end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n')) {
            const std::string line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            if (!line.empty() && !receive_message(line)) {
                return false;
            }
        }
        if (buffer_.size() > maximum_message_bytes) {
            error_ = "the watch message is too long";
        }
        return error_.empty();
    }

    // Returns the received text after the last complete message.
    const std::string& unparsed_text() const { return buffer_; }
    const std::string& error() const { return error_; }
    watch_result take_result() { return std::move(result_); }

private:
    static constexpr std::size_t maximum_message_bytes = std::size_t{64} << 20U;

    bool receive_message(const std::string& line) {
        const auto message = etcd::parse_object(line);
        if (!message) {
            error_ = message.error();
            return false;
        }
        if (etcd::add_watch_message(*message, result_)) {
            return false;
        }
        const bool canceled = etcd::is_member_true(etcd::nested_member(*message, "result"), "canceled");
        if (canceled || message->isMember("error")) {
            error_ = absl::StrCat("the watch was cancelled or failed: ", line);
        }
        return error_.empty();
    }

    std::string buffer_;
    std::string error_;
    watch_result result_;
};

}  // namespace

etcd_gateway_store::etcd_gateway_store(std::string address, const http_connection_limits& limits)
    : client_(std::move(address), limits) {}

tl::expected<Json::Value, store_error> etcd_gateway_store::call(const char* path, std::string request,
                                                                call_kind kind) {
    const bool is_write = kind == call_kind::write;
    const auto response = client_.post(path, std::move(request));
    if (!response) {
        return tl::make_unexpected(to_store_error(response.error(), is_write));
    }
    if (response->status != status_ok) {
        std::string text = error_text(response->body);
        const store_error_kind error_kind = response_error_kind(response->status, text, is_write);
        return tl::make_unexpected(
            store_error{.kind = error_kind, .message = absl::StrCat(response->status, " ", text)});
    }
    auto message = etcd::parse_object(response->body);
    if (!message) {
        return tl::make_unexpected(
            store_error{.kind = is_write ? store_error_kind::unknown_outcome : store_error_kind::unavailable,
                        .message = absl::StrCat("malformed response: ", message.error())});
    }
    return *std::move(message);
}

tl::expected<store_entry, store_error> etcd_gateway_store::read(std::string_view key) {
    const auto response = call("/v3/kv/range", etcd::range_request(key, ""), call_kind::read);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    const Json::Value& entries = etcd::nested_member(*response, "kvs");
    if (!entries.isArray() || entries.empty()) {
        return tl::make_unexpected(store_error{.kind = store_error_kind::not_found,
                                               .message = absl::StrCat("key not found: ", to_absl(key))});
    }
    return etcd::parse_entry(entries[0]);
}

tl::expected<store_snapshot, store_error> etcd_gateway_store::read_prefix(std::string_view prefix) {
    const std::string request = etcd::range_request(prefix, etcd::prefix_end(prefix));
    const auto response = call("/v3/kv/range", request, call_kind::read);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    store_snapshot snapshot;
    snapshot.revision = etcd::header_revision(*response);
    const Json::Value& entries = etcd::nested_member(*response, "kvs");
    if (entries.isArray()) {
        for (const Json::Value& entry : entries) {
            snapshot.entries.push_back(etcd::parse_entry(entry));
        }
    }
    return snapshot;
}

tl::expected<store_revision, store_error> etcd_gateway_store::transact(std::string request,
                                                                       store_revision expected_revision) {
    const auto response = call("/v3/kv/txn", std::move(request), call_kind::write);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    const store_revision revision = etcd::header_revision(*response);
    if (revision == 0) {
        return tl::make_unexpected(store_error{.kind = store_error_kind::unknown_outcome,
                                               .message = "the transaction response has no revision"});
    }
    if (!etcd::is_member_true(*response, "succeeded")) {
        return tl::make_unexpected(
            store_error{.kind = store_error_kind::conflict,
                        .message = absl::StrCat("the revision of the key is not ", expected_revision)});
    }
    return revision;
}

tl::expected<store_revision, store_error> etcd_gateway_store::compare_and_swap(
    std::string_view key, store_revision expected_revision, std::string_view value, lease_id lease) {
    if (value.size() > maximum_value_bytes) {
        return tl::make_unexpected(store_error{
            .kind = store_error_kind::too_large,
            .message =
                absl::StrCat(value.size(), " bytes exceed the maximum value size; key ", to_absl(key))});
    }
    return transact(etcd::put_request(key, expected_revision, value, lease), expected_revision);
}

tl::expected<void, store_error> etcd_gateway_store::compare_and_remove(std::string_view key,
                                                                       store_revision expected_revision) {
    const auto revision = transact(etcd::remove_request(key, expected_revision), expected_revision);
    if (!revision) {
        return tl::make_unexpected(revision.error());
    }
    return {};
}

tl::expected<watch_result, store_error> etcd_gateway_store::watch(std::string_view prefix,
                                                                  store_revision after_revision,
                                                                  absl::Duration timeout,
                                                                  const std::stop_token& stop) {
    const std::string request = etcd::watch_request(prefix, etcd::prefix_end(prefix), after_revision + 1);
    watch_stream_reader reader(after_revision);
    const auto status = client_.post_streamed("/v3/watch", request, timeout, stop,
                                              [&](std::string_view chunk) { return reader.receive(chunk); });
    if (!status) {
        return tl::make_unexpected(to_store_error(status.error(), false));
    }
    if (*status != status_ok && *status != 0) {
        return tl::make_unexpected(
            store_error{.kind = store_error_kind::unavailable,
                        .message = absl::StrCat(*status, " ", error_text(reader.unparsed_text()))});
    }
    if (!reader.error().empty()) {
        return tl::make_unexpected(
            store_error{.kind = store_error_kind::unavailable, .message = reader.error()});
    }
    return reader.take_result();
}

tl::expected<lease_id, store_error> etcd_gateway_store::grant_lease(absl::Duration time_to_live) {
    const std::int64_t seconds = absl::ToInt64Seconds(absl::Ceil(time_to_live, absl::Seconds(1)));
    const auto response = call("/v3/lease/grant", etcd::lease_grant_request(seconds), call_kind::write);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    const std::int64_t id = etcd::integer_member(*response, "ID");
    if (id == 0) {
        return tl::make_unexpected(store_error{.kind = store_error_kind::unknown_outcome,
                                               .message = "the lease response has no id"});
    }
    return static_cast<lease_id>(id);
}

tl::expected<void, store_error> etcd_gateway_store::renew_lease(lease_id lease) {
    const auto response = call("/v3/lease/keepalive", etcd::lease_keepalive_request(lease), call_kind::write);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    // An expired lease is reported with a time to live of 0, which the gateway omits.
    if (etcd::integer_member(etcd::nested_member(*response, "result"), "TTL") <= 0) {
        return tl::make_unexpected(
            store_error{.kind = store_error_kind::not_found, .message = "the lease has expired"});
    }
    return {};
}

}  // namespace masticpass
