// A task that lasts and was restarted often, when its minion is cut off and the owner's process is killed.
#include "world.hpp"

using namespace standin2;

namespace {

constexpr int minion_count = 6;
constexpr int entry_count = 3;
constexpr std::int64_t failing_ms = 42000;
constexpr std::int64_t cut_ms = 12000;
constexpr std::int64_t kill_delay_ms = 200;

std::string job_body() {
    return R"({"spec":"lasting work","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":1000,"long_running":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    deployment world(record, minion_count, entry_count, 120, 500);
    world.store.put("op/config", configuration(2, {route("plain", "/plain400/")}));
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    sleep_ms(4000);
    const std::string task = job_id(1) + ".0.0.0";
    world.history.lasting_fails_after_ms = 350;
    const call_result answer = call(world.entries[0]->front_port, "POST", "/plain400/" + job_id(1), job_body());
    record.line("client: POST %s, a task that lasts, is answered with %d", job_id(1).c_str(), answer.status);
    if (answer.status != 200) {
        world.finish(2);
    }
    sleep_ms(failing_ms);
    world.history.lasting_fails_after_ms = 0;
    sleep_ms(4000);
    record.line("%s was started %d times and does not fail any more", task.c_str(), world.minion_starts(task));
    minion_standin* const minion = world.minion_of(task);
    entry_process* const owner = world.owner();
    if (minion == nullptr || owner == nullptr || !world.history.two_runs.empty()) {
        world.finish(2);
    }
    if (is_trouble()) {
        record.line("minion %s is cut off from the entry VMs and runs on", minion->configured.id.c_str());
        minion->is_cut_off = true;
        sleep_ms(kill_delay_ms);
        owner->kill_now();
        owner->start();
    }
    sleep_ms(cut_ms - kill_delay_ms);
    if (is_trouble()) {
        minion->is_cut_off = false;
        record.line("minion %s is back", minion->configured.id.c_str());
    }
    sleep_ms(10000);
    int running = 0;
    std::size_t twice = 0;
    {
        const std::lock_guard<std::mutex> lock(world.history.mutex);
        running = world.history.running[task];
        twice = world.history.two_runs.size();
    }
    record.line("runs of %s at work now: %d; starts beside another run: %zu", task.c_str(), running, twice);
    std::printf("starts beside another run: %zu; runs at work 10 s later: %d\n", twice, running);
    world.finish(twice > 0 ? 1 : 0);
}
