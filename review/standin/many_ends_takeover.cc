// Many jobs of small tasks on one worker, which end at the same time, and one kill of the entry VM that leads shortly
// before.
#include "deployment.hpp"

using namespace review;

int main(int, char** arguments) {
    constexpr int job_count = 50;
    constexpr int tasks_per_job = 24;
    deployment fleet(arguments[1], 4);
    fleet.configure(
        R"({"version":3,"routes":[{"name":"panel-thumbs","host":"pule25.example","prefix":"/puxa400/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600}],)"
        R"("services":[{"name":"proofs","admission_check":true}],"limits":{}})");
    fleet.start_entries();
    if (!fleet.wait_until_ready()) {
        return cannot_run(fleet, "the entry VMs are not ready");
    }
    sleep_ms(2000);
    std::vector<job_plan> jobs;
    for (int index = 0; index < job_count; ++index) {
        jobs.push_back({.id = format("7b1d0c5529ae%04x", 0x4410 + index * 31),
                        .steps = {{.count = tasks_per_job, .cpu = 25, .mem_mb = 40, .duration_ms = 30000}}});
        if (!fleet.submit(jobs.back(), "/puxa400/")) {
            return cannot_run(fleet, "a job was not accepted");
        }
    }
    const auto running = [&] {
        int count = 0;
        for (const job_plan& job : jobs) {
            count += fleet.pool.running_tasks(job.id);
        }
        return count;
    };
    const std::int64_t submitted = now_ms();
    while (running() < job_count * tasks_per_job && now_ms() < submitted + 20000) {
        sleep_ms(50);
    }
    if (running() != job_count * tasks_per_job) {
        return cannot_run(fleet, "not all tasks are at work");
    }
    for (const job_plan& job : jobs) {
        fleet.pool.end_together(job.id, now_ms() + 1000);
    }
    if (has_trouble()) {
        fleet.kill_entry(fleet.leader());
    }
    sleep_ms(45000);
    for (const job_plan& job : jobs) {
        fleet.call(0, "GET", "/puxa400/" + job.id);
    }
    return verdict(fleet, fleet.pool.twice());
}
