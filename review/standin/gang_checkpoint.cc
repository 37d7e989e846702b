// A gang that saves checkpoints, and one crash of a worker that has a member of it.
#include "deployment.hpp"

using namespace review;

int main(int, char** arguments) {
    deployment fleet(arguments[1], 4);
    fleet.configure(
        R"({"version":3,"routes":[{"name":"render-fleet","host":"pule25.example","prefix":"/puxa400/","service":"proofs",)"
        R"("priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":600}],)"
        R"("services":[{"name":"proofs","admission_check":true}],"limits":{}})");
    fleet.start_entries();
    if (!fleet.wait_until_ready()) {
        return cannot_run(fleet, "the entry VMs are not ready");
    }
    sleep_ms(2000);
    const job_plan job{.id = "91c4d7e0553fa28b",
                       .steps = {{.count = 3, .cpu = 20000, .mem_mb = 4096, .duration_ms = 6000, .gang = true,
                                  .checkpointable = true}}};
    if (!fleet.submit(job, "/puxa400/")) {
        return cannot_run(fleet, "the job was not accepted");
    }
    sleep_ms(3500);
    const std::int64_t crashed_at = now_ms();
    if (has_trouble()) {
        fleet.pool.crash(fleet.pool.worker_with(job.id));
    }
    const std::int64_t end = now_ms() + 35000;
    while (now_ms() < end) {
        sleep_ms(100);
    }
    fleet.call(0, "GET", "/puxa400/" + job.id);
    for (const auto& [run, values] : fleet.pool.gang_checkpoints()) {
        std::string text;
        for (const std::string& value : values) {
            text += " '" + value + "'";
        }
        fleet.record.line(format("gang %s: %zu different checkpoints:%s", run.c_str(), values.size(), text.c_str()));
    }
    // No disruption is near a run that ends this long after the crash.
    constexpr std::int64_t contact_ms = 3000;
    constexpr std::int64_t gang_ms = 3000;
    std::vector<std::string> broken = fleet.pool.twice();
    for (const auto& [run, ended_at] : fleet.pool.alone_ends()) {
        if (ended_at > crashed_at + contact_ms + gang_ms) {
            broken.push_back(format("GANG: %s ended alone %lld ms after the crash", run.c_str(),
                                    static_cast<long long>(ended_at - crashed_at)));
        }
    }
    return verdict(fleet, broken);
}
