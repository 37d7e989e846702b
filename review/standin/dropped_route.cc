// A configuration removes the route of a queue while an accepted job of the queue runs; then the entry VM that
// leads is killed once.
#include "deployment.hpp"

using namespace review;

int main(int, char** arguments) {
    deployment fleet(arguments[1], 4);
    const std::string kept =
        R"({"name":"proof-quick","host":"pule25.example","prefix":"/puxa400/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600})";
    const std::string dropped =
        R"({"name":"proof-legacy","host":"pule25.example","prefix":"/old/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600})";
    const std::string services = R"("services":[{"name":"proofs","admission_check":true}],"limits":{}})";
    fleet.configure(R"({"version":3,"routes":[)" + kept + "," + dropped + "]," + services);
    fleet.start_entries();
    if (!fleet.wait_until_ready()) {
        return cannot_run(fleet, "the entry VMs are not ready");
    }
    sleep_ms(2000);
    job_plan job{.id = "3f20a6c17be9d854"};
    for (int step = 0; step < 8; ++step) {
        job.steps.push_back({.count = 1, .cpu = 1800, .mem_mb = 1024, .duration_ms = 1000});
        if (step > 0) {
            job.steps.back().after = {step - 1};
        }
    }
    if (!fleet.submit(job, "/old/")) {
        return cannot_run(fleet, "the job was not accepted");
    }
    sleep_ms(1500);
    fleet.configure(R"({"version":7,"routes":[)" + kept + "]," + services);
    sleep_ms(1500);
    fleet.call(1, "GET", "/old/" + job.id);
    if (has_trouble()) {
        fleet.kill_entry(fleet.leader());
    }
    // `finish_s` after the end of the traffic, the job must have ended or have work: there is capacity for all
    // of its tasks, and nothing else runs.
    constexpr std::int64_t finish_ms = 14000;
    constexpr std::int64_t idle_limit_ms = 3000;
    sleep_ms(finish_ms);
    std::vector<std::string> broken;
    std::int64_t idle_since = now_ms();
    const std::int64_t end = now_ms() + 10000;
    const int tasks = static_cast<int>(job.steps.size());
    while (now_ms() < end && fleet.pool.done_tasks(job.id) < tasks) {
        if (fleet.pool.running_tasks(job.id) > 0) {
            idle_since = now_ms();
        }
        if (now_ms() - idle_since > idle_limit_ms) {
            broken.push_back(format("LOST: job %s has %d of %d tasks done, the next one's turn has come, nothing of it "
                                    "has run for %lld ms, and all workers are free",
                                    job.id.c_str(), fleet.pool.done_tasks(job.id), tasks,
                                    static_cast<long long>(now_ms() - idle_since)));
            break;
        }
        sleep_ms(20);
    }
    fleet.record.line(format("%d of %d tasks are done", fleet.pool.done_tasks(job.id), tasks));
    return verdict(fleet, broken);
}
