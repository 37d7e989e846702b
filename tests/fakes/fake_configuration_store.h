#ifndef MASTICPASS_FAKES_FAKE_CONFIGURATION_STORE_H
#define MASTICPASS_FAKES_FAKE_CONFIGURATION_STORE_H

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "standin/store_state.h"
#include "store/transactional_store.h"

namespace masticpass::fakes {

// A configuration store in memory into which a test injects faults. A lease ends only by `expire_lease` or
// `revoke_lease`.
// Thread safety: all methods may be called from any thread.
class fake_configuration_store final : public transactional_store {
public:
    // Called before each call takes effect, without a lock held, with the name of the method and the key or
    // prefix. A test can use it to delay the call, or to write to the store before the call takes effect.
    using call_hook = std::function<void(std::string_view method, std::string_view key)>;

    tl::expected<store_entry, store_error> read(std::string_view key) override;
    tl::expected<store_snapshot, store_error> read_prefix(std::string_view prefix) override;
    tl::expected<store_revision, store_error> compare_and_swap(std::string_view key,
                                                               store_revision expected_revision,
                                                               std::string_view value,
                                                               lease_id lease) override;
    tl::expected<void, store_error> compare_and_remove(std::string_view key,
                                                       store_revision expected_revision) override;
    tl::expected<watch_result, store_error> watch(std::string_view prefix, store_revision after_revision,
                                                  absl::Duration timeout,
                                                  const std::stop_token& stop) override;
    tl::expected<lease_id, store_error> grant_lease(absl::Duration time_to_live) override;
    tl::expected<void, store_error> renew_lease(lease_id lease) override;
    tl::expected<store_revision, transaction_error> transact(const store_transaction& change) override;
    tl::expected<void, store_error> revoke_lease(lease_id lease) override;

    // While set, all calls fail with `unavailable` and waiting watches end.
    void set_down(bool down);
    // The next `count` writes take effect and fail with `unknown_outcome`.
    void lose_responses(int count);
    // The next `count` writes have no effect and fail with `unknown_outcome`.
    void lose_requests(int count);
    // The next `count` calls of `transact` fail with `unknown_outcome`. They take effect when
    // `deliver_delayed` is called, if their expectations still hold.
    void delay_requests(int count);
    void deliver_delayed();
    // While set, reads return the data that the store had when it was set.
    void set_old_data(bool old_data) { state_.set_old_data(old_data); }
    // Discards the history of changes, so that watches from an earlier revision report a compaction.
    void compact() { state_.compact(); }
    void expire_lease(lease_id lease) { state_.revoke_lease(lease); }
    void set_hook(call_hook hook);
    // Called after each call of read_prefix has read its entries, before it returns them.
    void set_response_hook(call_hook hook);

    // Number of calls of a method so far.
    int calls(std::string_view method) const;
    // Writes a value unconditionally, like another writer. Not affected by injected faults and not counted.
    store_revision put(const std::string& key, const std::string& value);
    // Removes a key unconditionally, like another writer. Not affected by injected faults and not counted.
    void remove(const std::string& key);
    // Returns the current value, regardless of injected faults; empty if there is none.
    std::string value(const std::string& key) const;

private:
    enum class injected_fault { none, response_lost, request_lost };

    // Counts a call and runs the hook. Returns false if the store is down, so that the call must fail.
    bool begin_call(std::string_view method, std::string_view key);
    injected_fault next_write_fault();
    bool is_down() const;
    tl::expected<store_revision, store_error> apply(const standin::transaction& request);

    standin::store_state state_;
    mutable absl::Mutex mutex_;
    bool is_down_ ABSL_GUARDED_BY(mutex_) = false;
    int responses_to_lose_ ABSL_GUARDED_BY(mutex_) = 0;
    int requests_to_lose_ ABSL_GUARDED_BY(mutex_) = 0;
    int requests_to_delay_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<standin::transaction> delayed_requests_ ABSL_GUARDED_BY(mutex_);
    call_hook hook_ ABSL_GUARDED_BY(mutex_);
    call_hook response_hook_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, int, std::less<>> calls_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
