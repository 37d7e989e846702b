// A job with many occurrences, and ordinary jobs. TROUBLE=0 leaves out the former.
#include "deployment.hpp"

using namespace review;

int main(int, char** arguments) {
    deployment fleet(arguments[1], 4);
    fleet.configure(
        R"({"version":3,"routes":[{"name":"proof-quick","host":"pule25.example","prefix":"/puxa400/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600}],)"
        R"("services":[{"name":"proofs","admission_check":true}],"limits":{}})");
    fleet.start_entries();
    if (!fleet.wait_until_ready()) {
        return cannot_run(fleet, "the entry VMs are not ready");
    }
    sleep_ms(1000);
    // The interval is short so that the occurrences of a day fit into a minute.
    job_plan scheduled{.id = "2b9e61f0a4d37c58"};
    constexpr int steps = 20;
    for (int step = 0; step < steps; ++step) {
        scheduled.steps.push_back({.count = 1, .cpu = 100, .mem_mb = 50, .duration_ms = 40});
    }
    scheduled.times = 1440;
    scheduled.interval_ms = 45;
    scheduled.first_ms = unix_ms() + 500;
    if (has_trouble() && !fleet.submit(scheduled, "/puxa400/")) {
        return cannot_run(fleet, "the scheduled job was not accepted");
    }
    std::vector<job_plan> jobs;
    const auto submit_ordinary = [&] {
        job_plan job{.id = format("6e10f2b7c9d5%04zx", 0x0a00 + jobs.size() * 23),
                     .steps = {{.count = 4, .cpu = 1800, .mem_mb = 1024, .duration_ms = 500}}};
        if (fleet.submit(job, "/puxa400/")) {
            jobs.push_back(job);
        }
    };
    const std::int64_t traffic_end = now_ms() + 80000;
    std::int64_t refused_since = -1;
    while (now_ms() < traffic_end && (refused_since < 0 || now_ms() < refused_since + 3000)) {
        submit_ordinary();
        fleet.record.line(format("scheduled tasks done: %d, largest value %zu bytes, transactions refused for a value: %lld",
                                 fleet.pool.done_tasks(scheduled.id), fleet.platform.largest_value(),
                                 static_cast<long long>(fleet.platform.refused_values())));
        if (refused_since < 0 && fleet.platform.refused_values() > 0) {
            refused_since = now_ms();
        }
        sleep_ms(1000);
    }
    // `finish_s` after the end of the traffic, every job must have ended or have work within 3 s: there is capacity
    // for all of their tasks.
    constexpr std::int64_t finish_ms = 14000;
    constexpr std::int64_t idle_limit_ms = 3000;
    sleep_ms(finish_ms);
    std::map<std::string, std::int64_t> active_at;
    const std::int64_t asked_at = now_ms();
    while (now_ms() < asked_at + idle_limit_ms + 500) {
        for (const job_plan& job : jobs) {
            if (fleet.pool.running_tasks(job.id) > 0 || fleet.pool.done_tasks(job.id) == job.steps.front().count) {
                active_at[job.id] = now_ms();
            }
        }
        sleep_ms(20);
    }
    std::vector<std::string> broken;
    int shown_as_completed = 0;
    for (const job_plan& job : jobs) {
        const reply state = fleet.call(0, "GET", "/puxa400/" + job.id);
        shown_as_completed += state.body.find("completed") != std::string::npos ? 1 : 0;
        const std::int64_t active = active_at.contains(job.id) ? active_at[job.id] : asked_at;
        if (now_ms() - active > idle_limit_ms) {
            broken.push_back(format("LOST: job %s was accepted, %d of %d tasks are done, nothing of it has run for %lld ms, "
                                    "and all workers are free; it is shown as %s",
                                    job.id.c_str(), fleet.pool.done_tasks(job.id), job.steps.front().count,
                                    static_cast<long long>(now_ms() - active), state.body.c_str()));
        }
    }
    fleet.record.line(format("%zu ordinary jobs were accepted, %d are shown as completed", jobs.size(), shown_as_completed));
    return verdict(fleet, broken);
}
