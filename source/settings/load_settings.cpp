#include "settings/load_settings.h"

#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "settings/section_reader.h"
#include "settings/value_parser.h"

namespace masticpass {

namespace {

// A settings file has a few kilobytes. The limit prevents a wrong path from loading a large file into memory.
constexpr std::size_t maximum_file_bytes = 1U << 20;

void read_entry(section_reader reader, entry_settings& entry) {
    reader.read_required("id", entry.id, parse_name);
    reader.read_required("region", entry.region, parse_name);
    reader.read_required("zone", entry.zone, parse_name);
    reader.report_unknown_keys();
}

void read_listen(section_reader reader, listen_settings& listen) {
    reader.read_required("caller", listen.caller, address_parser(wildcard::allowed));
    reader.read_required("peer", listen.peer, address_parser(wildcard::refused));
    reader.read_required("operations", listen.operations, address_parser(wildcard::allowed));
    reader.read_required("status", listen.status, address_parser(wildcard::allowed));
    reader.report_unknown_keys();
    std::set<socket_address> used_addresses;
    for (const auto& [key, address] :
         {std::pair{"caller", &listen.caller}, std::pair{"peer", &listen.peer},
          std::pair{"operations", &listen.operations}, std::pair{"status", &listen.status}}) {
        if (address->port != 0 && !used_addresses.insert(*address).second) {
            reader.report(reader.line(key), key, "expected an address that no other listener uses");
        }
    }
}

void read_peers(section_reader& root_section, settings& result) {
    std::set<std::string> ids = {result.entry.id.value()};
    std::set<socket_address> addresses = {result.listen.peer};
    for (section_reader& reader : root_section.sections("peers")) {
        peer_settings peer;
        peer.region = result.entry.region;
        reader.read_required("id", peer.id, parse_name);
        reader.read_optional("region", peer.region, parse_name);
        reader.read_required("zone", peer.zone, parse_name);
        reader.read_required("address", peer.address, address_parser(wildcard::refused));
        reader.report_unknown_keys();
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
                         duration_parser(absl::Milliseconds(10), absl::Seconds(30)));
    reader.report_unknown_keys();
}

void read_limits(section_reader reader, limit_settings& limits) {
    constexpr std::uint64_t kibibyte = 1ULL << 10;
    constexpr std::uint64_t gibibyte = 1ULL << 30;
    // Each connection occupies a thread.
    reader.read_optional("caller_connections", limits.caller_connections, count_parser(1, 4096));
    reader.read_optional("peer_connections", limits.peer_connections, count_parser(1, 4096));
    reader.read_optional("request_bytes", limits.request_bytes, size_parser(kibibyte, gibibyte));
    reader.read_optional("response_bytes", limits.response_bytes, size_parser(kibibyte, gibibyte));
    reader.read_optional("queue_items", limits.queue_items, count_parser(1, 1000000));
    reader.read_optional("queue_bytes", limits.queue_bytes, size_parser(kibibyte, 4 * gibibyte));
    reader.read_optional("response_cache_bytes", limits.response_cache_bytes, size_parser(0, gibibyte));
    reader.report_unknown_keys();
    if (limits.queue_bytes < limits.request_bytes) {
        reader.report(reader.line("queue_bytes"), "queue_bytes",
                      "expected at least limits.request_bytes, so that a request of that size can be queued");
    }
}

void read_timing(section_reader reader, timing_settings& timing) {
    const absl::Duration minimum_interval = absl::Milliseconds(10);
    // A peer counts as stopped after 2 s without a heartbeat, so at least two heartbeats must fit into that
    // time.
    reader.read_optional("heartbeat", timing.heartbeat, duration_parser(minimum_interval, absl::Seconds(1)));
    reader.read_optional("vm_poll", timing.vm_poll, duration_parser(minimum_interval, absl::Minutes(1)));
    // A backend server that is leaving must be detected within 3 s.
    reader.read_optional("probe", timing.probe, duration_parser(minimum_interval, absl::Seconds(2)));
    reader.read_optional("idle_connection", timing.idle_connection,
                         duration_parser(minimum_interval, absl::Minutes(1)));
    reader.read_optional("identity_validity", timing.identity_validity,
                         duration_parser(absl::Seconds(1), absl::Hours(24)));
    reader.report_unknown_keys();
}

void read_distance(section_reader reader, distance_settings& distance) {
    const auto parser = duration_parser(absl::ZeroDuration(), absl::Seconds(10));
    reader.read_optional("same_zone", distance.same_zone, parser);
    reader.read_optional("other_zone", distance.other_zone, parser);
    reader.read_optional("other_region", distance.other_region, parser);
    reader.report_unknown_keys();
    if (distance.other_zone < distance.same_zone) {
        reader.report(reader.line("other_zone"), "other_zone", "expected at least distance.same_zone");
    }
    if (distance.other_region < distance.other_zone) {
        reader.report(reader.line("other_region"), "other_region", "expected at least distance.other_zone");
    }
}

settings read_settings(const YAML::Node& root, error_collector& collector) {
    settings result;
    section_reader root_section(root, "", 1, collector);
    read_entry(root_section.section("entry", true), result.entry);
    read_listen(root_section.section("listen", true), result.listen);
    read_peers(root_section, result);
    read_platform(root_section.section("platform", true), result.platform);
    read_limits(root_section.section("limits", false), result.limits);
    read_timing(root_section.section("timing", false), result.timing);
    read_distance(root_section.section("distance", false), result.distance);
    section_reader log = root_section.section("log", false);
    log.read_optional("level", result.log.level, parse_log_level);
    log.report_unknown_keys();
    root_section.report_unknown_keys();
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
    std::string text(maximum_file_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad()) {
        return whole_file_error(path, "cannot be read; expected a readable YAML file");
    }
    return parse_settings(text, path);
}

tl::expected<settings, settings_errors> parse_settings(std::string_view text, const std::string& file_name) {
    if (text.size() > maximum_file_bytes) {
        return whole_file_error(file_name, "the file is too large; expected at most 1 MiB");
    }
    error_collector collector(file_name);
    settings result;
    try {
        result = read_settings(YAML::Load(std::string(text)), collector);
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
