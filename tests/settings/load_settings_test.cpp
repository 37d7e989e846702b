#include "settings/load_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

std::string sample_path() {
    return MASTICPASS_SAMPLES "/settings.yaml";
}

std::string sample_text() {
    std::ifstream stream(sample_path());
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// The sample with the first occurrence of `from` replaced by `to`, and the line of that occurrence.
struct edited_sample {
    edited_sample(const std::string& from, const std::string& to) : text(sample_text()) {
        const auto position = text.find(from);
        REQUIRE(position != std::string::npos);
        line = 1 + static_cast<int>(std::ranges::count(text.substr(0, position), '\n'));
        text.replace(position, from.size(), to);
    }

    std::string text;
    int line = 0;
};

struct invalid_edit {
    std::string from;
    std::string to;
    std::string key;
    // Number of lines from the replaced text to the key.
    int line_offset = 0;
};

const std::vector<invalid_edit> invalid_edits = {
    {"  id: entry-a1", "  id: entry-a1\n  nickname: a", "entry.nickname", 1},
    {"  zone: zone-a\n\nlisten", "  zone: zone-a\n  zone: zone-b\n\nlisten", "entry.zone", 1},
    {"  id: entry-a1", "  id: 'entry a1'", "entry.id"},
    {"  region: north", "  region: {name: north}", "entry.region"},
    {"caller: 0.0.0.0:7401", "caller: localhost:7401", "listen.caller"},
    {"caller: 0.0.0.0:7401", "caller: 0.0.0.0:70000", "listen.caller"},
    {"caller: 0.0.0.0:7401", "caller: 0.0.0.0:0", "listen.caller"},
    {"caller: 0.0.0.0:7401", "caller: 300.0.0.1:7401", "listen.caller"},
    {"peer: 192.0.2.11:7402", "peer: 0.0.0.0:7402", "listen.peer"},
    {"status: 192.0.2.11:7404", "status: 192.0.2.11:7403", "listen.status"},
    {"{id: entry-b1,", "{id: entry-a2,", "peers[1].id"},
    {"{id: entry-b1,", "{id: entry-a1,", "peers[1].id"},
    {"\"192.0.2.21:7402\"", "\"192.0.2.12:7402\"", "peers[1].address"},
    {"{id: entry-b1, zone: zone-b,", "{id: entry-b1, rack: 1, zone: zone-b,", "peers[1].rack"},
    {"call_timeout: 2s", "call_timeout: 2", "platform.call_timeout"},
    {"call_timeout: 2s", "call_timeout: 2MiB", "platform.call_timeout"},
    {"call_timeout: 2s", "call_timeout: 1h", "platform.call_timeout"},
    {"call_timeout: 2s", "call_timeout: 99999999999999999999s", "platform.call_timeout"},
    {"caller_connections: 256", "caller_connections: 0", "limits.caller_connections"},
    {"caller_connections: 256", "caller_connections: -1", "limits.caller_connections"},
    {"caller_connections: 256", "caller_connections: [256]", "limits.caller_connections"},
    {"request_bytes: 8MiB", "request_bytes: 8388608", "limits.request_bytes"},
    {"request_bytes: 8MiB", "request_bytes: 8MB", "limits.request_bytes"},
    {"request_bytes: 8MiB", "request_bytes: 17179869184GiB", "limits.request_bytes"},
    {"queue_bytes: 64MiB", "queue_bytes: 4MiB", "limits.queue_bytes"},
    {"heartbeat: 1s", "heartbeat: 2s", "timing.heartbeat"},
    {"probe: 1s", "probe: 5s", "timing.probe"},
    {"identity_validity: 15min", "identity_validity: 15m", "timing.identity_validity"},
    {"same_zone: 200us", "same_zone: 2ms", "distance.other_zone", 1},
    {"level: info", "level: loud", "log.level"},
};

}  // namespace

// Guards against an invalid sample, which operators would copy, and against defaults that differ from the
// sample.
TEST_CASE("the sample settings are valid and show the defaults") {
    const auto loaded = load_settings(sample_path());
    REQUIRE(loaded.has_value());
    CHECK(loaded->entry.id == entry_id("entry-a1"));
    CHECK(loaded->peers.size() == 3);
    CHECK(loaded->peers[1].region == region_name("north"));
    CHECK(loaded->listen.caller == socket_address{"0.0.0.0", 7401});
    const limit_settings limits;
    CHECK(loaded->limits.queue_bytes == limits.queue_bytes);
    CHECK(loaded->limits.request_bytes == limits.request_bytes);
    CHECK(loaded->timing.identity_validity == timing_settings().identity_validity);
    CHECK(loaded->distance.same_zone == distance_settings().same_zone);
}

// Guards against errors that are accepted or reported with the wrong line or key.
TEST_CASE("each error is reported with its line and key") {
    for (const invalid_edit& edit : invalid_edits) {
        const edited_sample sample(edit.from, edit.to);
        const auto parsed = parse_settings(sample.text, "settings.yaml");
        CAPTURE(edit.to);
        REQUIRE_FALSE(parsed.has_value());
        REQUIRE(parsed.error().size() == 1);
        CHECK(parsed.error()[0].key == edit.key);
        CHECK(parsed.error()[0].line == sample.line + edit.line_offset);
        CHECK(parsed.error()[0].file == "settings.yaml");
        CHECK_FALSE(parsed.error()[0].message.empty());
    }
}

// Guards against a check that stops at the first error, so that each error costs another attempt to start.
TEST_CASE("all errors are reported at once") {
    const auto parsed = parse_settings("entry: {id: a}\nlimits: {queue_items: many}\n", "s");
    REQUIRE_FALSE(parsed.has_value());
    std::vector<std::string> keys;
    for (const settings_error& error : parsed.error()) {
        keys.push_back(error.key);
    }
    CHECK(std::count(keys.begin(), keys.end(), "entry.zone") == 1);
    CHECK(std::count(keys.begin(), keys.end(), "listen") == 1);
    CHECK(std::count(keys.begin(), keys.end(), "limits.queue_items") == 1);
}

// Guards against an exception or empty settings for a file that is not a settings file.
TEST_CASE("files that are not settings files are rejected") {
    CHECK_FALSE(load_settings("/nonexistent/settings.yaml").has_value());
    CHECK_FALSE(load_settings("/").has_value());
    for (const char* text : {"", "[]", "a", "{", "entry: &a {id: *a}", "? [a]\n: b", "\t- a: b:"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_settings(text, "s").has_value());
    }
    CHECK_FALSE(parse_settings(std::string(2U << 20, ' '), "s").has_value());
}

TEST_CASE("addresses are formatted as they are parsed") {
    for (const char* text : {"192.0.2.1:80", "[2001:db8::1]:65535"}) {
        const auto address = parse_socket_address(text);
        REQUIRE(address.has_value());
        CHECK(to_string(*address) == text);
    }
    for (const char* text :
         {"192.0.2.1", "2001:db8::1:80", "[192.0.2.1]:80", "192.0.2.1:+80", "192.0.2.1:80 ", ":80"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_socket_address(text).has_value());
    }
}

// Guards against a crash or an uncaught exception of the parser on a damaged file.
TEST_CASE("damaged settings files never end the process") {
    constexpr std::string_view inserted = "{}[]&*!|>%@`'\":,#-? \t\n\0\xff";
    const std::string sample = sample_text();
    int accepted = 0;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::string text = sample;
        for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
            const auto position = random() % text.size();
            if (random() % 2 == 0) {
                text.erase(position, 1 + random() % 20);
            } else {
                text.insert(position, 1, inserted[random() % inserted.size()]);
            }
        }
        const auto parsed = parse_settings(text, "s");
        accepted += parsed.has_value() ? 1 : 0;
        CHECK((parsed.has_value() || !parsed.error().empty()));
    }
    // Edits inside comments leave the file valid, but most others do not.
    CHECK(accepted < 1500);
}

}  // namespace masticpass
