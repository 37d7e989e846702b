#include "settings/load_settings.h"

#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "settings/section_reader.h"
#include "settings/value_parser.h"

namespace masticpass {

namespace {

// A settings file has a few kilobytes; the bound keeps a wrong path from being read into memory.
constexpr std::size_t largest_file = 1U << 20;

void read_entry(section_reader reader, entry_settings& entry) {
    reader.read_required("id", entry.id, parse_name);
    reader.read_required("region", entry.region, parse_name);
    reader.read_required("zone", entry.zone, parse_name);
    reader.finish();
}

void read_listen(section_reader reader, listen_settings& listen) {
    reader.read_required("caller", listen.caller, address_parser(wildcard::allowed));
    reader.read_required("peer", listen.peer, address_parser(wildcard::refused));
    reader.read_required("operations", listen.operations, address_parser(wildcard::allowed));
    reader.read_required("status", listen.status, address_parser(wildcard::allowed));
    reader.finish();
    std::set<socket_address> used;
    for (const auto& [key, address] :
         {std::pair{"caller", &listen.caller}, std::pair{"peer", &listen.peer},
          std::pair{"operations", &listen.operations}, std::pair{"status", &listen.status}}) {
        if (address->port != 0 && !used.insert(*address).second) {
            reader.report(reader.line(key), key, "expected an address that no other listener uses");
        }
    }
}

void read_peers(section_reader& file, settings& result) {
    std::set<std::string> ids = {result.entry.id.value()};
    std::set<socket_address> addresses = {result.listen.peer};
    for (section_reader& reader : file.sections("peers")) {
        peer_settings peer;
        peer.region = result.entry.region;
        reader.read_required("id", peer.id, parse_name);
        reader.read_optional("region", peer.region, parse_name);
        reader.read_required("zone", peer.zone, parse_name);
        reader.read_required("address", peer.address, address_parser(wildcard::refused));
        reader.finish();
        if (!peer.id.empty() && !ids.insert(peer.id.value()).second) {
            reader.report(reader.line("id"), "id", "expected an id that no other entry VM has");
        }
        if (peer.address.port != 0 && !addresses.insert(peer.address).second) {
            reader.report(reader.line("address"), "address",
                          "expected an address that no other entry VM has");
        }
        result.peers.push_back(std::move(peer));
    }
}

void read_platform(section_reader reader, platform_settings& platform) {
    reader.read_required("store", platform.store, address_parser(wildcard::refused));
    reader.read_required("vms", platform.vms, address_parser(wildcard::refused));
    reader.read_optional("call_timeout", platform.call_timeout,
                         duration_between(absl::Milliseconds(10), absl::Seconds(30)));
    reader.finish();
}

void read_limits(section_reader reader, limit_settings& limits) {
    constexpr std::uint64_t kibibyte = 1ULL << 10;
    constexpr std::uint64_t gibibyte = 1ULL << 30;
    // Each connection takes a thread.
    reader.read_optional("caller_connections", limits.caller_connections, count_between(1, 4096));
    reader.read_optional("peer_connections", limits.peer_connections, count_between(1, 4096));
    reader.read_optional("request_bytes", limits.request_bytes, size_between(kibibyte, gibibyte));
    reader.read_optional("response_bytes", limits.response_bytes, size_between(kibibyte, gibibyte));
    reader.read_optional("queue_items", limits.queue_items, count_between(1, 1000000));
    reader.read_optional("queue_bytes", limits.queue_bytes, size_between(kibibyte, 4 * gibibyte));
    reader.read_optional("response_cache_bytes", limits.response_cache_bytes, size_between(0, gibibyte));
    reader.finish();
    if (limits.queue_bytes < limits.request_bytes) {
        reader.report(reader.line("queue_bytes"), "queue_bytes",
                      "expected at least limits.request_bytes, as the largest request would never be queued");
    }
}

void read_timing(section_reader reader, timing_settings& timing) {
    const absl::Duration shortest = absl::Milliseconds(10);
    // A peer is taken for stopped after 2 s without a heartbeat, so two have to fit in that time.
    reader.read_optional("heartbeat", timing.heartbeat, duration_between(shortest, absl::Seconds(1)));
    reader.read_optional("vm_poll", timing.vm_poll, duration_between(shortest, absl::Minutes(1)));
    // A leaving backend server has to be noticed within 3 s.
    reader.read_optional("probe", timing.probe, duration_between(shortest, absl::Seconds(2)));
    reader.read_optional("idle_connection", timing.idle_connection,
                         duration_between(shortest, absl::Minutes(1)));
    reader.read_optional("identity_validity", timing.identity_validity,
                         duration_between(absl::Seconds(1), absl::Hours(24)));
    reader.finish();
}

void read_distance(section_reader reader, distance_settings& distance) {
    const auto parser = duration_between(absl::ZeroDuration(), absl::Seconds(10));
    reader.read_optional("same_zone", distance.same_zone, parser);
    reader.read_optional("other_zone", distance.other_zone, parser);
    reader.read_optional("other_region", distance.other_region, parser);
    reader.finish();
    if (distance.other_zone < distance.same_zone) {
        reader.report(reader.line("other_zone"), "other_zone", "expected at least distance.same_zone");
    }
    if (distance.other_region < distance.other_zone) {
        reader.report(reader.line("other_region"), "other_region", "expected at least distance.other_zone");
    }
}

settings read_file(const YAML::Node& root, error_collector& collector) {
    settings result;
    section_reader file(root, "", 1, collector);
    read_entry(file.section("entry", true), result.entry);
    read_listen(file.section("listen", true), result.listen);
    read_peers(file, result);
    read_platform(file.section("platform", true), result.platform);
    read_limits(file.section("limits", false), result.limits);
    read_timing(file.section("timing", false), result.timing);
    read_distance(file.section("distance", false), result.distance);
    section_reader log = file.section("log", false);
    log.read_optional("level", result.log.level, parse_log_level);
    log.finish();
    file.finish();
    return result;
}

tl::unexpected<settings_errors> whole_file_error(const std::string& file_name, std::string message) {
    return tl::unexpected(
        settings_errors{{.file = file_name, .line = 0, .key = "", .message = std::move(message)}});
}

}  // namespace

tl::expected<settings, settings_errors> load_settings(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return whole_file_error(path, "cannot be opened; expected a readable YAML file");
    }
    std::string text(largest_file + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad()) {
        return whole_file_error(path, "cannot be read; expected a readable YAML file");
    }
    return parse_settings(text, path);
}

tl::expected<settings, settings_errors> parse_settings(std::string_view text, const std::string& file_name) {
    if (text.size() > largest_file) {
        return whole_file_error(file_name, "expected at most 1 MiB");
    }
    error_collector collector(file_name);
    settings result;
    try {
        result = read_file(YAML::Load(std::string(text)), collector);
    } catch (const YAML::Exception& exception) {
        const int line = exception.mark.is_null() ? 0 : exception.mark.line + 1;
        collector.add(line, "", "expected valid YAML: " + exception.msg);
    }
    if (!collector.errors().empty()) {
        return tl::unexpected(collector.errors());
    }
    return result;
}

}  // namespace masticpass
