#include "platform/configuration_watch.h"

#include <atomic>
#include <stdexcept>

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "fakes/wait_until.h"

namespace masticpass::platform {

namespace {

constexpr const char* configuration_key = "op/config";

bool has_version(const configuration_watch& watch, std::int64_t version) {
    const auto current = watch.current();
    return current != nullptr && current->rules.version == version;
}

}  // namespace

// Guards against a configuration that goes back, and against an unreadable one that ends the watch.
TEST_CASE("the watch keeps the newest configuration and continues after odd values and exceptions") {
    fakes::fake_configuration_store store;
    store.put(configuration_key, R"({"version":7,"routes":[],"services":[]})");
    const configuration_watch watch(store);
    REQUIRE(fakes::wait_until([&] { return has_version(watch, 7); }));
    store.put(configuration_key, std::string(100'000, '['));
    store.put(configuration_key, R"({"version":8,"routes":7,"services":[[]]})");
    store.put(configuration_key, R"({"version":5})");
    std::atomic<int> exceptions = 0;
    store.set_hook([&](std::string_view, std::string_view) {
        if (++exceptions < 4) {
            throw std::runtime_error("injected");
        }
    });
    REQUIRE(fakes::wait_until([&] { return exceptions >= 4; }));
    CHECK_FALSE(has_version(watch, 5));
    store.put(configuration_key, R"({"version":9,"routes":[],"services":[]})");
    CHECK(fakes::wait_until([&] { return has_version(watch, 9); }));
}

}  // namespace masticpass::platform
