// A scheduled job whose record becomes larger than the store's largest value, beside ordinary jobs.
#include "world.hpp"

using namespace standin2;

namespace {

constexpr int minion_count = 4;
constexpr int entry_count = 3;
constexpr std::int64_t run_ms = 60;
constexpr int large_steps = 100;
constexpr std::int64_t large_interval_ms = 150;
constexpr std::int64_t end_of_traffic_ms = 85000;
// finish_s of the platform's pages.
constexpr std::int64_t finish_ms = 14000;

// A scheduled job of small independent steps with one task each.
std::string large_job(int times) {
    std::string steps;
    for (int step = 0; step < large_steps; ++step) {
        steps += (step == 0 ? "" : ",") + std::string(R"({"count":1,"cpu":100,"mem_mb":16,"estimate_ms":60})");
    }
    return R"({"spec":"scheduled","times":)" + std::to_string(times) + R"(,"first_ms":)" +
           std::to_string(unix_ms() + 500) + R"(,"interval_ms":)" + std::to_string(large_interval_ms) +
           R"(,"steps":[)" + steps + "]}";
}

std::string ordinary_job() {
    return R"({"spec":"ordinary","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":60}]})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    deployment world(record, minion_count, entry_count, 120, run_ms, false);
    world.store.put("op/config", configuration(2, {route("plain", "/plain400/"), route("timed", "/timed400/")}));
    if (!world.wait_until_ready()) {
        world.finish(2);
    }
    sleep_ms(4000);
    const std::int64_t start = steady_ms();
    const int times = is_trouble() ? 500 : 50;
    const call_result large = call(world.entries[0]->front_port, "POST", "/timed400/" + job_id(1), large_job(times));
    record.line("client: POST of the scheduled job %s, %d steps, %d times, is answered with %d", job_id(1).c_str(),
                large_steps, times, large.status);
    if (large.status != 200) {
        world.finish(2);
    }
    struct sent_job {
        std::string id;
        std::int64_t accepted_at;
    };
    std::vector<sent_job> accepted;
    for (unsigned number = 1000; steady_ms() - start < end_of_traffic_ms - 4000; ++number) {
        const std::string id = job_id(number);
        const call_result answer =
            call(world.entries[number % entry_count]->front_port, "POST", "/plain400/" + id, ordinary_job());
        record.line("client: POST %s is answered with %d; %d starts so far", id.c_str(), answer.status,
                    world.history.total_starts.load());
        if (answer.status == 200) {
            accepted.push_back({id, steady_ms()});
        }
        sleep_ms(500);
    }
    record.line("end of the traffic; the store has refused %d values", world.store.oversized_writes.load());
    sleep_ms(finish_ms + 4000);
    int never_started = 0;
    int not_completed = 0;
    for (const sent_job& job : accepted) {
        const int starts = world.minion_starts(job.id + ".0.0.0");
        const call_result state = call(world.entries[0]->front_port, "GET", "/plain400/" + job.id);
        const bool is_completed = state.body.find("completed") != std::string::npos;
        if (!is_completed) {
            record.line("ordinary job %s: accepted %lld ms ago, %d starts of its first task, state %d %s",
                        job.id.c_str(), static_cast<long long>(steady_ms() - job.accepted_at), starts, state.status,
                        state.body.c_str());
        }
        never_started += starts == 0 ? 1 : 0;
        not_completed += is_completed ? 0 : 1;
    }
    record.line("of %zu accepted ordinary jobs %d have not started, %d are not completed", accepted.size(),
                never_started, not_completed);
    std::printf("of %zu accepted ordinary jobs %d have not started, %d are not completed\n", accepted.size(),
                never_started, not_completed);
    world.finish(never_started > 0 ? 1 : 0);
}
