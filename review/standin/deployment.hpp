// A small deployment on loopback: the stand-ins, the clients, and the entry VMs as processes. Every stand-in does only
// what PROTOCOL.md describes.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <atomic>
#include <filesystem>

#include "store.hpp"
#include "workers.hpp"

extern char** environ;

namespace review {

// The processes that this program has started. They end with it, also if it is asked to stop.
inline std::atomic<pid_t> children[16];

inline void end_children(int) {
    for (const auto& child : children) {
        if (child > 0) {
            ::kill(child, SIGKILL);
        }
    }
    ::_exit(2);
}

// An entry VM: a process of the product, its settings file, and its own server of the store and the VM list.
struct entry_vm {
    std::string name;
    std::string folder;
    std::string settings;
    std::string front;
    std::string ready;
    std::unique_ptr<server> platform;
    std::size_t index = 0;
    pid_t pid = -1;

    void start() {
        const std::string variable = "MASTICPASS_NODE_FILE=" + settings;
        const std::string log = folder + "/" + name + ".log";
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        std::vector<std::string> words = {"target/masticpass", "platform-entry"};
        std::vector<char*> arguments;
        for (std::string& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::vector<std::string> variables = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
        std::vector<char*> environment;
        for (std::string& next : variables) {
            environment.push_back(next.data());
        }
        environment.push_back(nullptr);
        if (posix_spawn(&pid, "target/masticpass", &actions, nullptr, arguments.data(), environment.data()) != 0) {
            pid = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
        children[index] = pid;
    }
    void signal(int number) const {
        if (pid > 0) {
            ::kill(pid, number);
        }
    }
    void wait() {
        if (pid > 0) {
            ::waitpid(pid, nullptr, 0);
            children[index] = -1;
            pid = -1;
        }
    }
};

struct reply {
    int status = 0;
    std::string body;
};

// The whole deployment. The constructor starts all stand-ins and processes.
class deployment {
public:
    static constexpr int entry_count = 4;

    deployment(const std::string& record_path, int worker_count)
        : record(record_path), pool(record, platform, "proofs", worker_count) {
        ::signal(SIGTERM, end_children);
        ::signal(SIGINT, end_children);
        ::signal(SIGSEGV, end_children);
        ::signal(SIGABRT, end_children);
        ::signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/masticpass-review-XXXXXX";
        folder_ = ::mkdtemp(name);
        for (int index = 0; index < entry_count; ++index) {
            auto next = std::make_unique<entry_vm>();
            next->index = static_cast<std::size_t>(index);
            next->name = format("edge-north-%c-%d", 'a' + index % 3, index / 3 + 1);
            next->folder = folder_;
            next->platform = std::make_unique<server>(96);
            platform.serve(next->platform->http, index);
            pool.serve_machines(next->platform->http);
            next->platform->start();
            next->front = "127.0.0.1:" + std::to_string(free_port());
            next->ready = "127.0.0.1:" + std::to_string(free_port());
            next->settings = folder_ + "/" + next->name + ".conf";
            write_settings(*next, index);
            entries.push_back(std::move(next));
        }
        clock_ = std::thread([this] { run_clock(); });
    }
    ~deployment() {
        for (auto& next : entries) {
            next->signal(SIGCONT);
            next->signal(SIGKILL);
        }
        for (auto& next : entries) {
            next->wait();
        }
        is_closing_ = true;
        clock_.join();
        if (getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_);
        }
    }

    void configure(const std::string& text) {
        platform.put("op/config", text);
        record.line("operator writes " + text);
    }
    void start_entries() {
        for (auto& next : entries) {
            next->start();
            record.line("process " + next->name + " starts, pid " + std::to_string(next->pid));
        }
    }
    // Waits until every entry VM reports that it is ready. Returns false after 15 seconds.
    bool wait_until_ready() {
        const std::int64_t end = now_ms() + 15000;
        while (now_ms() < end) {
            int ready = 0;
            for (auto& next : entries) {
                httplib::Client client("http://" + next->ready);
                client.set_connection_timeout(std::chrono::seconds(1));
                const auto response = client.Get("/readiness");
                ready += response && response->status == 200 ? 1 : 0;
            }
            if (ready == entry_count && platform.last_renewer() >= 0) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    // The entry VM that leads: the one that last renewed a lease at the store.
    int leader() { return platform.last_renewer(); }

    // Kills the process of an entry VM; it is started again after a short delay.
    void kill_entry(int index) {
        entry_vm& target = *entries.at(static_cast<std::size_t>(index));
        record.line("process " + target.name + " is killed, pid " + std::to_string(target.pid));
        target.signal(SIGKILL);
        target.wait();
        sleep_ms(300);
        target.start();
        record.line("process " + target.name + " starts again, pid " + std::to_string(target.pid));
    }

    // Stops the process of an entry VM with SIGTERM, and with SIGKILL after `grace_s`, and starts it again.
    void restart_entry(int index) {
        entry_vm& target = *entries.at(static_cast<std::size_t>(index));
        record.line("process " + target.name + " gets SIGTERM, pid " + std::to_string(target.pid));
        target.signal(SIGTERM);
        const std::int64_t end = now_ms() + 6000;
        while (now_ms() < end && ::waitpid(target.pid, nullptr, WNOHANG) == 0) {
            sleep_ms(50);
        }
        if (now_ms() >= end) {
            record.line("process " + target.name + " gets SIGKILL");
            target.signal(SIGKILL);
            target.wait();
        }
        target.start();
        record.line("process " + target.name + " starts again, pid " + std::to_string(target.pid));
    }

    reply call(int entry, const char* method, const std::string& path, const std::string& body = "") {
        httplib::Client client("http://" + entries.at(static_cast<std::size_t>(entry))->front);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(std::chrono::seconds(4));
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = {{"Host", host}, {"X-Timeout-Ms", "3000"}};
        if (!body.empty()) {
            request.headers.emplace("Content-Type", "application/json");
        }
        const auto response = client.send(request);
        reply result;
        if (response) {
            result = {response->status, response->body};
        }
        record.line(format("client: %s %s at %s -> %d %s", method, path.c_str(),
                           entries.at(static_cast<std::size_t>(entry))->name.c_str(), result.status, result.body.c_str()));
        return result;
    }
    // Submits the job, through other entry VMs after no response, and returns whether it was accepted.
    bool submit(const job_plan& job, const std::string& prefix) {
        pool.add_job(job);
        for (int attempt = 0; attempt < 4; ++attempt) {
            const reply answer = call(attempt % entry_count, "POST", prefix + job.id, job.body());
            if (answer.status == 200) {
                return true;
            }
            sleep_ms(200);
        }
        return false;
    }

    static constexpr const char* host = "pule25.example";
    recorder record;
    store platform;
    workers pool;
    std::vector<std::unique_ptr<entry_vm>> entries;

private:
    void write_settings(const entry_vm& entry, int index) {
        std::ofstream(entry.settings)
            << "node=" << entry.name << "\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\n"
            << "zone=north-" << static_cast<char>('a' + index % 3) << "\nregion=north\n"
            << "zones.north-a=north\nzones.north-b=north\nzones.north-c=north\n"
            << "listen.front=" << entry.front << "\nlisten.ready=" << entry.ready << "\nport_range=7060,7075\n"
            << "bootstrap=false\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
            << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
            << "heartbeat_ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
            << "tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
            << "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n"
            << "bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_ms=2000\n"
            << "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\n"
            << "bounds.hold_max_ms=10000\nbounds.stop_ms=900\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\n"
            << "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
            << "bounds.far_x=3\nbounds.checkpoint_s=0.5\nbounds.restore_ms=100\nbounds.notice_ms=4500\n"
            << "bounds.move_s=1.5\nbounds.upkeep_s=2\nbounds.require_fencing=false\nbounds.lease_ms=3000\n"
            << "bounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\norders=invocation\nadvice=\n"
            << "platform.address=" << entry.platform->address() << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
            << "platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
            << "platform.ttl_min_ms=1000\ncloud.address=" << entry.platform->address() << "\ncloud.rate_per_s=64.0\n"
            << "cloud.duties=\ncloud.duty_per_s=64.0\n";
    }
    void run_clock() {
        std::int64_t next_heartbeat = 0;
        while (!is_closing_) {
            sleep_ms(5);
            pool.tick();
            platform.expire_leases();
            if (now_ms() >= next_heartbeat) {
                pool.heartbeat();
                next_heartbeat = now_ms() + 1500;
            }
        }
    }

    std::string folder_;
    std::atomic<bool> is_closing_ = false;
    std::thread clock_;
};

inline bool has_trouble() {
    const char* const value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Records the broken rules and returns the exit status.
inline int verdict(deployment& fleet, const std::vector<std::string>& broken) {
    for (const std::string& line : broken) {
        fleet.record.line("BROKEN " + line);
    }
    fleet.record.line(broken.empty() ? "the rule held" : format("the rule was broken %zu times", broken.size()));
    printf("%s\n", broken.empty() ? "held" : ("broken: " + broken.front()).c_str());
    return broken.empty() ? 0 : 1;
}

inline int cannot_run(deployment& fleet, const std::string& reason) {
    fleet.record.line("the case could not run: " + reason);
    printf("could not run: %s\n", reason.c_str());
    return 2;
}

}  // namespace review
