#include "daemon/MembershipFeed.h"

#include "daemon/SeedPeer.h"

namespace parsleypaddle {

namespace {

    constexpr Milliseconds listInterval { 3000 };
    constexpr Milliseconds firstListInterval { 250 };
    constexpr double leastJitter = 0.5;
    constexpr double mostJitter = 1.5;

}

MembershipFeed::MembershipFeed(PollLoop& loop, PlatformInstanceList& platform, WorkerPool& workers, MembershipFeedSettings settings, ListHeard heard)
    : m_loop(loop)
    , m_platform(platform)
    , m_workers(workers)
    , m_settings(std::move(settings))
    , m_heard(std::move(heard))
    , m_random(m_settings.seed)
{
}

void MembershipFeed::start()
{
    readPlatform();
}

void MembershipFeed::readLater()
{
    const double jitter = std::uniform_real_distribution<double>(leastJitter, mostJitter)(m_random);
    const Milliseconds interval = m_hasPlatformList ? listInterval : firstListInterval;
    m_loop.after(interval * jitter, [this] { readPlatform(); });
}

void MembershipFeed::readPlatform()
{
    m_platform.list([this](const absl::StatusOr<PlatformList>& list) {
        if (list.ok()) {
            m_hasList = true;
            m_hasPlatformList = true;
            m_heard(*list);
        } else if (!m_hasPlatformList && !m_settings.seeds.empty()) {
            return askSeed();
        }
        readLater();
    });
}

void MembershipFeed::askSeed()
{
    const Endpoint seed = m_settings.seeds[m_random() % m_settings.seeds.size()];
    const bool isTaken = m_workers.submit([this, seed, key = m_settings.key]() -> std::function<void()> {
        auto list = askSeedPeer(seed, key);
        return [this, list = std::move(list)] {
            if (list.ok() && !m_hasPlatformList) {
                m_hasList = true;
                m_heard(*list);
            }
            readLater();
        };
    });
    if (!isTaken)
        readLater();
}

}
