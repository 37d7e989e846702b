// Jobs that run on a schedule, and one planned restart of the entry VM that leads while occurrences are at work.
// With KILL set, the process is killed instead.
#include "deployment.hpp"

using namespace review;

int main(int, char** arguments) {
    deployment fleet(arguments[1], 4);
    fleet.configure(
        R"({"version":3,"routes":[{"name":"proof-nightly","host":"pule25.example","prefix":"/puxa400/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600}],)"
        R"("services":[{"name":"proofs","admission_check":true}],"limits":{}})");
    fleet.start_entries();
    if (!fleet.wait_until_ready()) {
        return cannot_run(fleet, "the entry VMs are not ready");
    }
    sleep_ms(2000);
    // One job of longer tasks, and jobs of one short task each, some of which end during the hand-over.
    constexpr int short_jobs = 12;
    std::vector<job_plan> jobs;
    jobs.push_back({.id = "5c0e7a21d94b36f8", .steps = {{.count = 4, .cpu = 1800, .mem_mb = 1024, .duration_ms = 5000}}});
    for (int index = 0; index < short_jobs; ++index) {
        jobs.push_back({.id = format("77aa00c4e1b2%04x", 0x1d00 + index * 19),
                        .steps = {{.count = 1, .cpu = 1000, .mem_mb = 512, .duration_ms = 800 + 25 * index}}});
    }
    constexpr int occurrences = 3;
    constexpr std::int64_t interval_ms = 8000;
    constexpr std::int64_t lead_ms = 4000;
    const std::int64_t first_unix_ms = unix_ms() + lead_ms;
    const std::int64_t first = now_ms() + lead_ms;
    int tasks = 0;
    for (job_plan& job : jobs) {
        job.times = occurrences;
        job.interval_ms = interval_ms;
        job.first_ms = first_unix_ms;
        tasks += job.steps.front().count;
        if (!fleet.submit(job, "/puxa400/")) {
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
    while (running() < tasks && now_ms() < first + 2000) {
        sleep_ms(5);
    }
    if (running() != tasks) {
        return cannot_run(fleet, "the first occurrences are not at work");
    }
    sleep_ms(750);
    if (has_trouble()) {
        if (getenv("KILL") != nullptr) {
            fleet.kill_entry(fleet.leader());
        } else {
            fleet.restart_entry(fleet.leader());
        }
    }
    while (now_ms() < first + (occurrences - 1) * interval_ms + 9000) {
        sleep_ms(100);
    }
    for (const job_plan& job : jobs) {
        fleet.call(0, "GET", "/puxa400/" + job.id);
    }
    return verdict(fleet, fleet.pool.twice());
}
