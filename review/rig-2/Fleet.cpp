#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace rig {

namespace {

    constexpr const char* program = "target/platform/parsleypaddled-platform";
    constexpr uint16_t metricsPort = 9464;

}

// Processes of two scripts that run at the same time use different addresses.
std::string Fleet::host(uint32_t last)
{
    const auto pid = static_cast<uint32_t>(getpid());
    return "127." + std::to_string(10 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250) + "." + std::to_string(last);
}

Fleet::Fleet(FleetSettings settings, Record& record)
    : m_settings(std::move(settings))
    , m_record(record)
{
    for (uint32_t n = 0; n < m_settings.machines; ++n) {
        Machine machine;
        machine.zone = m_settings.zones[n % m_settings.zones.size()];
        machine.name = "frontend-" + machine.zone + "-" + std::to_string(n + 1);
        machine.host = host(10 + n);
        machine.frontendPort = 8784;
        machine.readyPort = 8785;
        machine.internalPort = 7440;
        m_machines.push_back(machine);
    }
}

Fleet::~Fleet()
{
    for (size_t n = 0; n < m_machines.size(); ++n)
        signal(n, SIGKILL);
}

// The settings of a small deployment (vizitka-sofia).
void Fleet::writeSettings(const Machine& machine) const
{
    std::ofstream out(m_settings.folder + "/" + machine.name + ".json");
    const auto address = [&](uint16_t port) { return machine.host + ":" + std::to_string(port); };
    out << R"({"node-name": ")" << machine.name << R"(", "role": "daemon", "machine-class": "frontend", "serves": ["frontend"],
  "ip": ")"
        << machine.host << R"(", "zone": ")" << machine.zone << R"(", "region": "bg-south",
  "zones": {"sof-a": "bg-south", "sof-b": "bg-south", "plv-a": "bg-south", "pern-a": "bg-south"},
  "listen": {"frontend": ")"
        << address(machine.frontendPort) << R"(", "ready": ")" << address(machine.readyPort) << R"("},
  "internal-port-range": [)"
        << machine.internalPort << ", " << machine.internalPort + 15 << R"(], "seeds": [],
  "bootstrap": true, "failure-counted": false,
  "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "file-descriptors": 4300, "link-mbps": 1000.0, "disk-mb": 0},
  "data-directory": null, "discovery": "platform", "entry": "virtual_ip", "heartbeat-ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
  "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
  "bounds": {"seed-lag-s": 3, "address-reuse-s": 2, "stability-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4, "drain-ms": 7000, "grace-period-s": 6,
    "loss-slack-ms": 200, "config-apply-ms": 3000, "downgrade-slack-ms": 250, "skew-bound-ms": 12000, "recovery-s": 12, "fencing-enforced": false, "thaw-slack-ms": 300},
  "platform": {"address": ")"
        << m_settings.store << R"(", "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "transaction-latency-ms": 3.0,
    "partition-writes-s": 300, "max-row-bytes": 65536, "cross-partition": true, "history-s": 20, "max-blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-s": 80.0},
  "cloud-api": {"address": ")"
        << m_settings.promotions << R"(", "rate-per-s": 50.0, "duties": ["promotion"], "duties-per-s": 50.0}}
)";
}

bool Fleet::start()
{
    for (size_t n = 0; n < m_machines.size(); ++n) {
        writeSettings(m_machines[n]);
        startMachine(n);
    }
    constexpr int64_t startTimeoutMs = 20'000;
    for (size_t n = 0; n < m_machines.size(); ++n) {
        if (!awaitReady(n, startTimeoutMs))
            return false;
    }
    return true;
}

// Runs the command of the deploy file.
void Fleet::startMachine(size_t n)
{
    Machine& machine = m_machines[n];
    const std::string settings = "PARSLEYPADDLE_NODE_FILE=" + m_settings.folder + "/" + machine.name + ".json";
    const std::string log = m_settings.folder + "/" + machine.name + ".log";
    const std::string port = std::to_string(metricsPort);
    const char* path = std::getenv("PATH");
    const std::string pathVariable = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
    const pid_t parent = getpid();
    machine.pid = fork();
    if (machine.pid != 0) {
        m_record.write("machine " + machine.name + " at " + machine.host + " starts");
        return;
    }
    // Ends with the rig, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const char* arguments[] = { program, "--metrics", port.c_str(), nullptr };
    const char* environment[] = { settings.c_str(), pathVariable.c_str(), nullptr };
    execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    _exit(127);
}

void Fleet::signal(size_t n, int number)
{
    Machine& machine = m_machines[n];
    if (machine.pid <= 0)
        return;
    m_record.write("machine " + machine.name + " gets signal " + std::to_string(number));
    kill(machine.pid, number);
    if (number != SIGKILL)
        return;
    waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
}

bool Fleet::awaitReady(size_t n, int64_t timeoutMs)
{
    const Machine& machine = m_machines[n];
    const int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        std::string line;
        const auto stream = Stream::connect(machine.host, machine.readyPort);
        if (stream && stream->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n") && stream->readLine(line, nowMs() + 1000) && line.find(" 200") != std::string::npos)
            return true;
        sleepMs(50);
    }
    return false;
}

}
