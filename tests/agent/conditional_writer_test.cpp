#include "agent/conditional_writer.h"

#include <random>
#include <string>

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "fakes/fake_retry_counter.h"

namespace masticpass {

namespace {

// Returns a change that appends `mark` to a record whose value is the list of all marks. It does not apply to
// a record that contains '!'.
record_change append_change(const std::string& mark) {
    return {.key = "r",
            .propose = [mark](const store_entry* current) -> tl::expected<std::string, std::string> {
                const std::string before = current != nullptr ? current->value : "";
                if (before.find('!') != std::string::npos) {
                    return tl::make_unexpected(std::string("closed"));
                }
                return before + mark;
            },
            .find_own_write =
                [mark](const store_entry& current) {
                    return current.value.find(mark) != std::string::npos ? own_write::found
                                                                         : own_write::absent;
                }};
}

struct fixture {
    fakes::fake_configuration_store store;
    fakes::fake_retry_counter retries;
    monotonic_clock time;
    std::mt19937_64 random{1};
    conditional_writer writer{
        store,
        retries,
        time,
        random,
        {.backoff = {.initial = absl::Milliseconds(1), .maximum = absl::Milliseconds(5)},
         .timeout = absl::Milliseconds(200)}};
    std::stop_source stop;

    write_result write(const record_change& change) { return writer.write(change, stop.get_token()); }
};

}  // namespace

// Guards against losing the update of one of two writers.
TEST_CASE_FIXTURE(fixture, "after a conflict, the change is applied to the current record") {
    store.put("r", "a");
    bool is_first = true;
    store.set_hook([&](std::string_view method, std::string_view) {
        if (method == "compare_and_swap" && std::exchange(is_first, false)) {
            store.put("r", "ab");
        }
    });
    CHECK(write(append_change("x")).outcome == write_outcome::applied);
    CHECK(store.value("r") == "abx");
    CHECK(retries.counted(retry_reason::conflict) == 1);
}

// Guards against applying a change twice, or reporting it as failed, after the response was lost.
TEST_CASE_FIXTURE(fixture, "a write whose response was lost is found in the record and not repeated") {
    store.put("r", "a");
    store.lose_responses(1);
    const write_result result = write(append_change("x"));
    CHECK(result.outcome == write_outcome::applied);
    CHECK(result.revision > 0);
    CHECK(store.value("r") == "ax");
    CHECK(store.calls("compare_and_swap") == 1);
    CHECK(retries.counted(retry_reason::unknown_outcome) == 1);
}

// Guards against giving up a write whose request was lost, and against applying it twice.
TEST_CASE_FIXTURE(fixture, "a write whose request was lost is repeated with the same expected revision") {
    for (const std::string& before : {std::string(), std::string("a")}) {
        if (!before.empty()) {
            store.put("r", before);
        }
        store.lose_requests(2);
        CHECK(write(append_change("x")).outcome == write_outcome::applied);
        CHECK(store.value("r") == before + "x");
    }
}

// Guards against reporting an outcome that the record does not prove.
TEST_CASE_FIXTURE(fixture,
                  "the outcome is unknown if the record was replaced and its history is incomplete") {
    store.put("r", "a");
    auto change = append_change("x");
    change.find_own_write = [](const store_entry& current) {
        return current.value == "ax" ? own_write::found : own_write::undetermined;
    };
    store.lose_responses(1);
    store.set_hook([&](std::string_view method, std::string_view) {
        if (method == "read" && store.value("r") == "ax") {
            store.put("r", "b");
        }
    });
    CHECK(write(change).outcome == write_outcome::unknown);
    CHECK(store.value("r") == "b");
}

// Guards against giving up a lost write after the write of another writer, and against applying it twice.
TEST_CASE_FIXTURE(fixture, "a write whose request was lost is proposed again after another write") {
    store.put("r", "a");
    store.lose_requests(1);
    store.set_hook([&](std::string_view method, std::string_view) {
        if (method == "read" && store.calls("compare_and_swap") == 1 && store.value("r") == "a") {
            store.put("r", "b");
        }
    });
    CHECK(write(append_change("x")).outcome == write_outcome::applied);
    CHECK(store.value("r") == "bx");
}

// Guards against a write that is based on a stale record.
TEST_CASE_FIXTURE(fixture, "a change is not applied to stale data") {
    store.put("r", "a");
    store.set_old_data(true);
    store.put("r", "b");
    int reads = 0;
    store.set_hook([&](std::string_view method, std::string_view) {
        constexpr int last_old_read = 3;
        if (method == "read" && ++reads > last_old_read) {
            store.set_old_data(false);
        }
    });
    CHECK(write(append_change("x")).outcome == write_outcome::applied);
    CHECK(store.value("r") == "bx");
    CHECK(retries.counted(retry_reason::old_data) == 2);
    CHECK(store.calls("compare_and_swap") == 2);
}

// Guards against reporting an operator's change as unknown or applied when no write was sent, and the
// reverse.
TEST_CASE_FIXTURE(fixture, "the outcome after the timeout says whether the write may have taken effect") {
    store.put("r", "a");
    store.set_down(true);
    CHECK(write(append_change("x")).outcome == write_outcome::not_applied);
    store.set_down(false);
    store.lose_responses(1);
    store.set_hook([&](std::string_view method, std::string_view) {
        store.set_down(method == "read" && store.calls("compare_and_swap") == 1);
    });
    CHECK(write(append_change("x")).outcome == write_outcome::unknown);
}

TEST_CASE_FIXTURE(fixture, "a change that cannot be applied is a conflict with the reason") {
    store.put("r", "a!");
    const write_result result = write(append_change("x"));
    CHECK(result.outcome == write_outcome::conflict);
    CHECK(result.message == "closed");
    CHECK(store.calls("compare_and_swap") == 0);
}

// Guards against a thread that cannot be stopped while the store is down.
TEST_CASE_FIXTURE(fixture, "a stop request ends the wait for the next retry") {
    conditional_writer slow_writer(
        store, retries, time, random,
        {.backoff = {.initial = absl::Hours(1), .maximum = absl::Hours(1)}, .timeout = absl::Hours(9)});
    store.set_down(true);
    store.set_hook([&](std::string_view, std::string_view) { stop.request_stop(); });
    CHECK(slow_writer.write(append_change("x"), stop.get_token()).outcome == write_outcome::not_applied);
}

}  // namespace masticpass
