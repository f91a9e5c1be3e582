#pragma once

#include "daemon/DaemonSettings.h"
#include "net/PollLoop.h"
#include "net/WorkerPool.h"
#include "platform_ports/PlatformPorts.h"

#include <functional>
#include <random>

namespace parsleypaddle {

/// Where a daemon that starts asks for the fleet's members.
struct MembershipFeedSettings {
    /// Control interfaces to ask while the platform has never answered.
    std::vector<Endpoint> seeds;
    std::string key;
    uint64_t seed { 0 };
};

/// Reads the platform's list of instances again and again. Until it has answered once, other daemons are asked
/// instead, so that a daemon can start while the platform is down.
class MembershipFeed {
public:
    using ListHeard = std::function<void(const PlatformList&)>;

    MembershipFeed(PollLoop&, PlatformInstanceList&, WorkerPool&, MembershipFeedSettings, ListHeard);

    void start();

    /// Whether the platform or a peer has told the members.
    bool hasList() const { return m_hasList; }

private:
    void readLater();
    void readPlatform();
    void askSeed();

    PollLoop& m_loop;
    PlatformInstanceList& m_platform;
    WorkerPool& m_workers;
    MembershipFeedSettings m_settings;
    ListHeard m_heard;
    std::mt19937_64 m_random;
    bool m_hasList { false };
    bool m_hasPlatformList { false };
};

}
