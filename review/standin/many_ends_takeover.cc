// A job with many small tasks on one worker, which end at the same time, and one kill of the entry VM that leads
// shortly before.
#include "world.hpp"

using namespace review;

int main(int, char** arguments) {
    constexpr int tasks = 2800;
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
    const job_plan job{.id = "7b1d0c5529ae4410", .steps = {{.count = tasks, .cpu = 10, .mem_mb = 20, .duration_ms = 30000}}};
    if (!fleet.submit(job, "/puxa400/")) {
        return cannot_run(fleet, "the job was not accepted");
    }
    const std::int64_t submitted = now_ms();
    while (fleet.pool.starts_of(job.id) < tasks && now_ms() < submitted + 20000) {
        sleep_ms(5);
    }
    if (fleet.pool.running_tasks(job.id) != tasks) {
        return cannot_run(fleet, "not all tasks are at work");
    }
    fleet.pool.end_together(job.id, now_ms() + 1000);
    if (has_trouble()) {
        fleet.kill_entry(fleet.leader());
    }
    const std::int64_t end = now_ms() + 45000;
    while (now_ms() < end) {
        sleep_ms(100);
    }
    fleet.call(0, "GET", "/puxa400/" + job.id);
    return verdict(fleet, fleet.pool.twice());
}
