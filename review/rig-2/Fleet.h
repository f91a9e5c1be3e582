#pragma once

#include "Record.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rig {

/// The deploy file's role on a machine: a process of its own at a loopback address of its own.
struct Machine {
    std::string name;
    std::string zone;
    std::string host;
    uint16_t frontendPort { 0 };
    uint16_t readyPort { 0 };
    uint16_t internalPort { 0 };
    pid_t pid { -1 };
};

struct FleetSettings {
    /// Addresses HOST:PORT of the store and of the promotion call.
    std::string store;
    std::string promotions;
    uint32_t machines { 2 };
    /// The zones of the machines, in turn.
    std::vector<std::string> zones { "sof-a", "sof-b", "plv-a", "pern-a" };
    /// Folder for settings files and logs.
    std::string folder;
};

/// Starts, kills and ends the daemons.
class Fleet {
public:
    Fleet(FleetSettings, Record&);
    /// Kills all daemons that still run.
    ~Fleet();

    bool start();
    void startMachine(size_t);
    void signal(size_t, int signal);
    /// Waits until GET /readiness is answered with 200.
    bool awaitReady(size_t, int64_t timeoutMs);
    const Machine& at(size_t n) const { return m_machines[n]; }
    size_t size() const { return m_machines.size(); }
    /// Loopback address for a stand-in, not used by any daemon.
    static std::string host(uint32_t last);

private:
    void writeSettings(const Machine&) const;

    FleetSettings m_settings;
    Record& m_record;
    std::vector<Machine> m_machines;
};

}
