#include "distribution/DistributionFixture.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds lineDelay { 0.3 };
    /// Interval at which parts of a long line arrive.
    constexpr Milliseconds partInterval { 100 };

}

/// Both ends of a channel.
struct FakePeerNetwork::Link {
    struct End {
        DistributionDaemon* process { nullptr };
        std::string host;
        PeerChannelCallbacks callbacks;
    };
    End ends[2];
    bool isOpen { true };
    bool isSilent { false };
};

class FakePeerNetwork::Channel final : public PeerChannel {
public:
    Channel(FakePeerNetwork& network, std::shared_ptr<Link> link, size_t ownEnd)
        : m_network(network)
        , m_link(std::move(link))
        , m_ownEnd(ownEnd)
    {
    }

    void send(const std::string& line) override
    {
        const size_t other = 1 - m_ownEnd;
        const Milliseconds duration = m_network.occupyLink(m_link->ends[m_ownEnd].host, line.size());
        for (Milliseconds it = partInterval; it < duration; it = it + partInterval)
            m_network.deliver(m_link, other, it, [&link = *m_link, other] {
                if (link.ends[other].callbacks.onReceived)
                    link.ends[other].callbacks.onReceived();
            });
        m_network.deliver(m_link, other, duration, [&network = m_network, &link = *m_link, toEnd = other, line] {
            ++network.lines;
            network.bytes += line.size() + 1;
            link.ends[toEnd].callbacks.onLine(line);
        });
    }

    void close() override
    {
        m_network.deliver(m_link, 1 - m_ownEnd, Milliseconds(0), [link = m_link, toEnd = 1 - m_ownEnd] {
            link->isOpen = false;
            link->ends[toEnd].callbacks.onClose();
        });
    }

private:
    FakePeerNetwork& m_network;
    std::shared_ptr<Link> m_link;
    size_t m_ownEnd;
};

Milliseconds FakePeerNetwork::occupyLink(const std::string& host, size_t bytes)
{
    if (bytesPerSecond == 0)
        return Milliseconds(0);
    constexpr double millisecondsPerSecond = 1000;
    Instant& sentAt = m_sentAt[host];
    sentAt = std::max(sentAt, m_loop.now()) + Milliseconds(static_cast<double>(bytes) / bytesPerSecond * millisecondsPerSecond);
    return sentAt - m_loop.now();
}

void FakePeerNetwork::deliver(const std::shared_ptr<Link>& link, size_t toEnd, Milliseconds delay, std::function<void()> task)
{
    const auto isLost = [this, link] { return link->isSilent || silentHosts.count(link->ends[0].host) > 0 || silentHosts.count(link->ends[1].host) > 0; };
    if (isLost())
        return;
    m_loop.after(lineDelay + delay, [link, toEnd, isLost, task = std::move(task)] {
        if (isLost() || link->ends[toEnd].process->loop.isStopped())
            return;
        link->ends[toEnd].process->loop.run([link, task] {
            if (link->isOpen)
                task();
        });
    });
}

std::shared_ptr<PeerChannel> FakePeerNetwork::connect(DistributionDaemon& from, const std::string& host, PeerChannelCallbacks callbacks)
{
    auto link = std::make_shared<Link>();
    link->ends[0] = { &from, from.name, std::move(callbacks) };
    link->ends[1].host = host;
    m_links.push_back(link);
    const bool isLost = silentHosts.count(host) > 0 || silentHosts.count(from.name) > 0;
    auto it = processes.find(host);
    if (it == processes.end()) {
        link->ends[1].process = &from;
        link->ends[1].callbacks = { [](std::string_view) {}, [] {} };
        if (!isLost)
            m_loop.after(lineDelay, [link] { link->ends[0].process->loop.run([link] {
                                                 if (std::exchange(link->isOpen, false))
                                                     link->ends[0].callbacks.onClose();
                                             }); });
    } else {
        link->ends[1].process = it->second;
        link->ends[1].callbacks = it->second->service.accept(std::make_shared<Channel>(*this, link, 1));
    }
    return std::make_shared<Channel>(*this, link, 0);
}

void FakePeerNetwork::silenceChannels(const std::string& host)
{
    for (const auto& weak : m_links) {
        auto link = weak.lock();
        if (link && (link->ends[0].host == host || link->ends[1].host == host))
            link->isSilent = true;
    }
}

void FakePeerNetwork::closeChannels(const std::string& host)
{
    for (const auto& weak : m_links) {
        auto link = weak.lock();
        if (!link || !link->isOpen)
            continue;
        for (const size_t end : { 0U, 1U }) {
            if (link->ends[end].host == host)
                deliver(link, 1 - end, Milliseconds(0), [link, other = 1 - end] {
                    link->isOpen = false;
                    link->ends[other].callbacks.onClose();
                });
        }
    }
}

}
