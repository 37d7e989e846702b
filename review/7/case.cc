// Jobs that ended longer than status_s ago, when the store was down for moments and later forgets its history.
#include "world.hpp"

using namespace standin2;

namespace {

constexpr int minion_count = 4;
constexpr int entry_count = 3;
constexpr std::int64_t run_ms = 200;
constexpr int status_s = 60;
constexpr int jobs_per_s = 20;
constexpr int outages = 6;
constexpr std::int64_t outage_ms = 800;
// The gaps differ, so that the outages don't keep missing the removals, which are one second apart.
constexpr std::int64_t outage_gap_ms = 2600;
constexpr std::int64_t gap_growth_ms = 270;

std::string job_body() {
    return R"({"spec":"work","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200}]})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    deployment world(record, minion_count, entry_count, status_s, run_ms, false);
    world.store.put("op/config", configuration(2, {route("plain", "/plain400/")}));
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    sleep_ms(3000);
    std::atomic<bool> is_over = false;
    std::thread operations([&] {
        // From here on jobs that ended longer than status_s ago are removed.
        sleep_ms(status_s * 1000 + 5000);
        for (int number = 0; number < outages; ++number) {
            if (is_trouble()) {
                record.line("the store is down: it answers with 503 and does nothing");
                world.store.is_busy = true;
                sleep_ms(outage_ms);
                world.store.is_busy = false;
                record.line("the store is back");
            }
            sleep_ms(outage_gap_ms + number * gap_growth_ms);
        }
        sleep_ms(5000);
        if (is_trouble()) {
            record.line("the store forgets its history");
            world.store.discard_history();
        }
        sleep_ms(5000);
        is_over = true;
    });
    unsigned number = 1;
    int accepted = 0;
    for (; !is_over; ++number) {
        const std::string id = job_id(number * 2654435761U);
        const call_result answer =
            call(world.entries[number % entry_count]->front_port, "POST", "/plain400/" + id, job_body());
        accepted += answer.status == 200 ? 1 : 0;
        if (number % 100 == 0 || answer.status != 200) {
            record.line("client: POST %s (the %uth) is answered with %d", id.c_str(), number, answer.status);
        }
        sleep_ms(1000 / jobs_per_s);
    }
    operations.join();
    sleep_ms(2000);
    std::vector<std::string> again;
    {
        const std::lock_guard<std::mutex> lock(world.history.mutex);
        again = world.history.started_again;
    }
    if (!again.empty()) {
        const std::string id = again.front().substr(0, 16);
        const call_result state = call(world.entries[0]->front_port, "GET", "/plain400/" + id);
        record.line("client: GET %s is answered with %d %s", id.c_str(), state.status, state.body.c_str());
    }
    record.line("%d jobs accepted; %zu tasks were started again after their end `done` was acknowledged", accepted,
                again.size());
    std::printf("%zu tasks were started again after their end was acknowledged\n", again.size());
    world.finish(again.empty() ? 0 : 1);
}
