// Jobs of a route that the operator has removed, across a rolling restart of the entry VMs.
#include "world.hpp"

using namespace standin2;

namespace {

constexpr int minion_count = 4;
constexpr int entry_count = 3;
constexpr unsigned job_count = 10;
constexpr std::int64_t run_ms = 8000;
// finish_s of the platform's pages.
constexpr std::int64_t finish_ms = 14000;

// Three steps of four tasks, each after the one before.
constexpr int step_count = 3;
std::string job_body() {
    return R"({"spec":"work","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":8000},)"
           R"({"count":4,"cpu":500,"mem_mb":64,"estimate_ms":8000,"after":[0]},)"
           R"({"count":4,"cpu":500,"mem_mb":64,"estimate_ms":8000,"after":[1]}]})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    deployment world(record, minion_count, entry_count, 120, run_ms);
    world.store.put("op/config", configuration(2, {route("kept", "/kept400/"), route("dropped", "/puxa400/")}));
    record.line("operator: version 2 with the routes kept and dropped");
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    sleep_ms(4000);
    for (unsigned number = 1; number <= job_count; ++number) {
        const call_result answer =
            call(world.entries[number % entry_count]->front_port, "POST", "/puxa400/" + job_id(number), job_body());
        record.line("client: POST %s on the route dropped is answered with %d", job_id(number).c_str(), answer.status);
        if (answer.status != 200) {
            world.finish(2);
        }
    }
    sleep_ms(1500);
    world.store.put("op/config", configuration(5, {route("kept", "/kept400/")}));
    record.line("operator: version 5 without the route dropped, acknowledged");
    if (is_trouble()) {
        for (const auto& entry : world.entries) {
            entry->stop();
            entry->start();
            sleep_ms(1200);
        }
    } else {
        sleep_ms(3 * 4500);
    }
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    record.line("all entry VMs are ready, and no disruption follows");
    const call_result kept = call(world.entries[0]->front_port, "POST", "/kept400/" + job_id(500), job_body());
    record.line("client: POST %s on the route kept is answered with %d", job_id(500).c_str(), kept.status);
    // The steps that may still be open, and finish_s twice.
    sleep_ms(2 * run_ms + 2 * finish_ms);
    int unfinished_jobs = 0;
    for (unsigned number = 1; number <= job_count; ++number) {
        int ended = 0;
        const std::lock_guard<std::mutex> lock(world.history.mutex);
        for (int step = 0; step < step_count; ++step) {
            for (int index = 0; index < 4; ++index) {
                ended += static_cast<int>(world.history.done.count(
                    job_id(number) + ".0." + std::to_string(step) + "." + std::to_string(index)));
            }
        }
        record.line("accepted job %s: %d of 12 tasks have ended done", job_id(number).c_str(), ended);
        unfinished_jobs += ended < 4 * step_count ? 1 : 0;
    }
    const call_result state = call(world.entries[0]->front_port, "GET", "/kept400/" + job_id(500));
    record.line("client: GET of the job of the route kept is answered with %d %s", state.status, state.body.c_str());
    record.line("%d of %u accepted jobs are not done, and nothing of them runs", unfinished_jobs, job_count);
    std::printf("accepted jobs that never finish: %d of %u\n", unfinished_jobs, job_count);
    world.finish(unfinished_jobs > 0 ? 1 : 0);
}
