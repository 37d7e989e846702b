#include "agent/store_watcher.h"

#include <map>
#include <random>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "fakes/fake_retry_counter.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// Applies the delivered changes and checks that the revision of each key increases.
class recorded_entries {
public:
    void apply(const store_change& change) {
        const absl::MutexLock lock(&mutex_);
        store_revision& last_revision = last_revisions_[change.entry.key];
        is_increasing_ = is_increasing_ && change.entry.revision > last_revision;
        last_revision = change.entry.revision;
        ++changes_;
        if (change.removed) {
            values_.erase(change.entry.key);
        } else {
            values_[change.entry.key] = change.entry.value;
        }
    }

    std::string value(const std::string& key) const {
        const absl::MutexLock lock(&mutex_);
        const auto found = values_.find(key);
        return found == values_.end() ? "" : found->second;
    }
    int changes() const {
        const absl::MutexLock lock(&mutex_);
        return changes_;
    }
    bool is_increasing() const {
        const absl::MutexLock lock(&mutex_);
        return is_increasing_;
    }

private:
    mutable absl::Mutex mutex_;
    std::map<std::string, std::string> values_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, store_revision> last_revisions_ ABSL_GUARDED_BY(mutex_);
    int changes_ ABSL_GUARDED_BY(mutex_) = 0;
    bool is_increasing_ ABSL_GUARDED_BY(mutex_) = true;
};

struct fixture {
    fakes::fake_configuration_store store;
    fakes::fake_retry_counter retries;
    recorded_entries entries;
    std::mt19937_64 random{1};
    // The watch timeout is so long that a test passes in time only if changes and stop requests end a watch.
    store_watcher watcher{store,
                          retries,
                          random,
                          "p/",
                          [this](const store_change& change) { entries.apply(change); },
                          {.watch_timeout = absl::Hours(1),
                           .backoff = {.initial = absl::Milliseconds(1), .maximum = absl::Milliseconds(5)}}};

    bool wait_for_value(const std::string& key, const std::string& value) const {
        return fakes::wait_until([&] { return entries.value(key) == value; });
    }
    // Makes the store unavailable. Returns once the watcher has detected this, so that its open watch
    // delivers no later change.
    void stop_store() {
        store.set_down(true);
        REQUIRE(fakes::wait_until([&] { return !watcher.is_store_reachable(); }));
    }
    void start_and_load() {
        watcher.start();
        REQUIRE(fakes::wait_until([&] { return watcher.is_loaded(); }));
    }
};

}  // namespace

// Guards against missing or repeating a change between the read and the watch.
TEST_CASE_FIXTURE(fixture, "entries and their changes are delivered once and in order") {
    store.put("p/a", "1");
    store.put("other", "x");
    start_and_load();
    CHECK(entries.value("p/a") == "1");
    store.put("p/b", "1");
    store.put("p/a", "2");
    store.remove("p/b");
    CHECK(wait_for_value("p/a", "2"));
    CHECK(fakes::wait_until([&] { return entries.changes() == 4; }));
    CHECK(wait_for_value("p/b", ""));
    CHECK(entries.is_increasing());
    CHECK(store.calls("read_prefix") == 1);
}

// Guards against losing changes during an outage, and against reading all entries again after each outage.
TEST_CASE_FIXTURE(fixture, "the watch resumes after an outage without reading all entries again") {
    store.put("p/a", "1");
    start_and_load();
    store.set_down(true);
    REQUIRE(fakes::wait_until([&] { return retries.counted(retry_reason::store_unavailable) > 2; }));
    CHECK_FALSE(watcher.is_store_reachable());
    store.put("p/a", "2");
    store.set_down(false);
    CHECK(wait_for_value("p/a", "2"));
    CHECK(watcher.is_store_reachable());
    CHECK(store.calls("read_prefix") == 1);
}

// Guards against missing a removal because its change was discarded by a compaction.
TEST_CASE_FIXTURE(fixture, "after a compaction, all entries are read again and removals are delivered") {
    store.put("p/a", "1");
    store.put("p/b", "1");
    start_and_load();
    stop_store();
    store.remove("p/a");
    store.put("p/b", "2");
    store.compact();
    store.set_down(false);
    CHECK(wait_for_value("p/a", ""));
    CHECK(wait_for_value("p/b", "2"));
    CHECK(retries.counted(retry_reason::compacted) == 1);
    CHECK(entries.is_increasing());
}

// Guards against reverting the configuration when the store returns stale data.
TEST_CASE_FIXTURE(fixture, "stale data is counted and not delivered") {
    store.put("p/a", "1");
    store.put("p/gone", "1");
    start_and_load();
    store.set_old_data(true);
    store.put("p/a", "2");
    store.remove("p/gone");
    CHECK(wait_for_value("p/a", "2"));
    CHECK(wait_for_value("p/gone", ""));
    stop_store();
    store.put("p/a", "3");
    store.compact();
    store.set_down(false);
    REQUIRE(fakes::wait_until([&] { return retries.counted(retry_reason::old_data) > 2; }));
    CHECK(entries.value("p/a") == "2");
    CHECK(entries.value("p/gone").empty());
    store.set_old_data(false);
    CHECK(wait_for_value("p/a", "3"));
    CHECK(entries.is_increasing());
}

// Guards against a thread that cannot be stopped during a long backoff delay. The other test cases cover
// stopping a waiting watch.
TEST_CASE("a watcher can be stopped during its backoff delay") {
    fakes::fake_configuration_store store;
    fakes::fake_retry_counter retries;
    std::mt19937_64 random{1};
    store.set_down(true);
    store_watcher watcher(
        store, retries, random, "p/", [](const store_change&) {},
        {.watch_timeout = absl::Hours(1), .backoff = {.initial = absl::Hours(1), .maximum = absl::Hours(1)}});
    watcher.start();
    CHECK(fakes::wait_until([&] { return retries.counted(retry_reason::store_unavailable) == 1; }));
}

}  // namespace masticpass
