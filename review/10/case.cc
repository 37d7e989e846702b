// A wave for a machine that joined while the list of machines could not be read.
#include "world.hpp"

using namespace standin2;

namespace {

constexpr int minion_count = 4;
constexpr int entry_count = 3;
constexpr std::int64_t outage_ms = 5000;


}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    deployment world(record, minion_count, entry_count, 120, 500);
    std::atomic<int> upkeeps = 0;
    world.cloud.on_order = [&](const std::string& call, const Json::Value& body) {
        if (call != "machine-upkeep") {
            return 400;
        }
        ++upkeeps;
        record.line("cloud: the upkeep of %s begins", body["machine"].asCString());
        return 200;
    };
    world.store.put("op/config", configuration(2, {route("plain", "/plain400/")}));
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    sleep_ms(6000);
    if (is_trouble()) {
        record.line("cloud: down, it answers with 503");
        world.cloud.is_unavailable = true;
    }
    const std::int64_t outage_start = steady_ms();
    sleep_ms(300);
    world.add_minion(10, 500);
    record.line("machine m-10 has joined, its minion is in the store");
    sleep_ms(3000);
    Json::Value wave = empty_object();
    wave["wave"] = 7;
    wave["machines"] = Json::Value(Json::arrayValue);
    wave["machines"].append("m-10");
    wave["within_s"] = 20;
    wave["max_count"] = 1;
    world.store.put("op/wave/7", wave);
    record.line("operator: wave 7 for m-10, acknowledged");
    bool is_early = false;
    std::string last;
    for (const std::int64_t start = steady_ms(); steady_ms() - start < 20000; sleep_ms(20)) {
        if (world.cloud.is_unavailable && steady_ms() - outage_start >= outage_ms) {
            world.cloud.is_unavailable = false;
            record.line("cloud: back");
        }
        const int begun = upkeeps;
        const std::string state = decode_base64(world.store.value("status/wave/7"));
        if (state != last) {
            record.line("operator: reads status/wave/7 = %s; upkeeps begun: %d", state.c_str(), begun);
            is_early = is_early || (begun == 0 && state.find("completed") != std::string::npos);
            last = state;
        }
        if (begun > 0 && state.find("completed") != std::string::npos) {
            break;
        }
    }
    record.line(is_early ? "the wave was said to be completed before the upkeep of m-10 had begun"
                         : "the wave was not said to be completed too early");
    std::printf("said to be completed before the upkeep began: %s\n", is_early ? "yes" : "no");
    world.finish(is_early ? 1 : 0);
}
