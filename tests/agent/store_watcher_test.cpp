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

// Applies changes as a reader would and checks that no key goes back to an earlier revision.
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
    // A long watch, so that a test passes in time only if changes and stops end it.
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
    // Returns once the watcher has noticed the outage, so that it sees no later change through the open
    // watch.
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

// Guards against missed or repeated changes between the read and the watch.
TEST_CASE_FIXTURE(fixture, "entries and their changes are handed out once and in order") {
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

// Guards against changes that are lost during an outage, and against a full read after each one.
TEST_CASE_FIXTURE(fixture, "the watch resumes after an outage without reading again") {
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

// Guards against a removal that is never noticed because its change was compacted.
TEST_CASE_FIXTURE(fixture, "a compaction leads to a new read that also shows removals") {
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

// Guards against a configuration that goes back when the store answers a read with old data.
TEST_CASE_FIXTURE(fixture, "old data is counted and not handed out") {
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

// Guards against a thread that cannot be stopped during a long wait after a failure. The end of a waiting
// watch is covered by the other cases.
TEST_CASE("a watcher stops during its back-off") {
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
