// The jobs that the clients submit.
#pragma once

#include <vector>

#include "common.hpp"

namespace review {

// What a client submits, with the true duration of the tasks.
struct step_plan {
    int count = 1;
    int cpu = 1000;
    int mem_mb = 100;
    int duration_ms = 1000;
    bool gang = false;
    bool checkpointable = false;
    std::vector<int> after = {};
};

struct job_plan {
    std::string id;
    std::vector<step_plan> steps;
    int times = 0;
    std::int64_t first_ms = 0;
    std::int64_t interval_ms = 0;
    std::string spec = "work";

    std::string body() const {
        Json::Value json;
        json["spec"] = spec;
        for (const step_plan& step : steps) {
            Json::Value row;
            row["count"] = step.count;
            row["cpu"] = step.cpu;
            row["mem_mb"] = step.mem_mb;
            row["estimate_ms"] = step.duration_ms;
            for (const int earlier : step.after) {
                row["after"].append(earlier);
            }
            if (step.gang) {
                row["gang"] = true;
            }
            if (step.checkpointable) {
                row["checkpointable"] = true;
            }
            json["steps"].append(row);
        }
        if (times > 0) {
            json["times"] = times;
            json["first_ms"] = Json::Int64(first_ms);
            json["interval_ms"] = Json::Int64(interval_ms);
        }
        return write(json);
    }
};

struct task_id {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

inline task_id parse_task(const std::string& name) {
    char job[64] = {};
    task_id task;
    sscanf(name.c_str(), "%63[^.].%d.%d.%d", job, &task.occurrence, &task.step, &task.index);
    task.job = job;
    return task;
}

}  // namespace review
