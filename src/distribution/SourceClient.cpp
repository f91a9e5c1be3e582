#include "distribution/SourceClient.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds renewInterval { 800 };
    /// A source that has no valid row yet, or that this daemon has just joined, is asked again soon.
    constexpr Milliseconds shortRenewInterval { 200 };
    /// A source that leaves a renewal unanswered and sends nothing else for this long is taken for silent. With the interval this is
    /// shorter than a grant.
    constexpr Milliseconds answerTimeout { 1000 };
    /// The same for the first renewal on a channel. A machine without power leaves it unanswered.
    constexpr Milliseconds firstAnswerTimeout { 500 };
    constexpr Milliseconds avoidanceTime { 3000 };
    /// A source without the platform tells in its answers of a daemon that reaches it. These renewals stay in the failure domain.
    constexpr Milliseconds staleRenewInterval { 300 };
    constexpr Milliseconds minRenewInterval { 50 };
    /// By then a source has received what this daemon announces to it, or does not answer.
    constexpr Milliseconds announcementTime { 1000 };

    uint64_t affinity(const InstanceId& own, const InstanceId& source)
    {
        const uint64_t seed = XXH64(own.value().data(), own.value().size(), 0);
        return XXH64(source.value().data(), source.value().size(), seed);
    }

}

SourceClient::SourceClient(EventLoop& loop, PeerConnector& connector, SharedRows& rows, InstanceLease& lease, DecisionLog& log, Milliseconds maxPlatformAge, Callbacks callbacks)
    : m_loop(loop)
    , m_connector(connector)
    , m_rows(rows)
    , m_lease(lease)
    , m_log(log)
    , m_maxPlatformAge(maxPlatformAge)
    , m_callbacks(std::move(callbacks))
{
}

SourceClient::~SourceClient()
{
    m_loop.cancel(m_timer);
    if (m_link)
        m_link->channel->close();
}

// Each daemon has an order of its own, so that the subscribers of a lost source spread over the others.
void SourceClient::setCandidates(const std::vector<Peer>& candidates)
{
    m_candidates = candidates;
    const InstanceId& own = m_lease.instance();
    std::sort(m_candidates.begin(), m_candidates.end(), [&own](const Peer& a, const Peer& b) { return affinity(own, a.instance) < affinity(own, b.instance); });
}

void SourceClient::start()
{
    if (!m_link)
        connectNext();
}

const Peer* SourceClient::nextCandidate() const
{
    auto it = std::find_if(m_candidates.begin(), m_candidates.end(), [this](const Peer& candidate) {
        return !isAvoided(candidate.instance) && (!m_link || m_link->source.instance != candidate.instance);
    });
    return it == m_candidates.end() ? nullptr : &*it;
}

const Peer* SourceClient::staleCandidate() const
{
    auto it = std::find_if(m_candidates.begin(), m_candidates.end(), [this](const Peer& candidate) {
        auto avoided = m_avoided.find(candidate.instance);
        return avoided != m_avoided.end() && avoided->second.loss == Loss::Stale;
    });
    return it == m_candidates.end() ? nullptr : &*it;
}

bool SourceClient::isAvoided(const InstanceId& instance) const
{
    auto it = m_avoided.find(instance);
    return it != m_avoided.end() && it->second.until > m_loop.now();
}

void SourceClient::forgetRefusals()
{
    for (auto it = m_avoided.begin(); it != m_avoided.end();)
        it = it->second.loss == Loss::Silent ? std::next(it) : m_avoided.erase(it);
}

void SourceClient::request(const TableRequest& request)
{
    if (isAttached())
        send(request);
}

// A channel that was left may still deliver something.
PeerChannelCallbacks SourceClient::callbacksFor(const std::shared_ptr<Link>& link)
{
    std::weak_ptr<Link> weak = link;
    return {
        [this, weak](std::string_view line) {
            if (auto it = weak.lock(); it && it == m_link)
                applyLine(line);
        },
        [this, weak] {
            if (auto it = weak.lock(); it && it == m_link)
                lose("the channel was closed");
        },
        [this, weak] {
            if (auto it = weak.lock())
                it->receivedAt = m_loop.now();
        },
    };
}

void SourceClient::connectNext()
{
    const auto choose = [this] {
        const Peer* candidate = nextCandidate();
        return candidate ? candidate : staleCandidate();
    };
    while (const Peer* candidate = choose()) {
        auto link = std::make_shared<Link>();
        link->source = *candidate;
        link->channel = m_connector.connect(candidate->addresses, callbacksFor(link));
        if (!link->channel) {
            m_avoided[candidate->instance] = { m_loop.now() + avoidanceTime, Loss::Refused };
            continue;
        }
        m_link = std::move(link);
        send(SubscribeMessage { m_lease.instance(), m_lease.incarnation(), m_lease.addresses() });
        renew();
        return;
    }
    m_callbacks.onExhausted();
}

void SourceClient::stop(bool holdsRow)
{
    m_loop.cancel(std::exchange(m_timer, TimerId::None));
    if (!m_link)
        return;
    if (holdsRow && isStale())
        announceToStaleSources();
    send(LeaveMessage { holdsRow });
    m_link->channel->close();
    m_link.reset();
}

// The other sources without the platform have subscribers too, which call the platform only one after the other.
void SourceClient::announceToStaleSources()
{
    for (const auto& it : m_candidates) {
        auto avoided = m_avoided.find(it.instance);
        if (it.instance == m_link->source.instance || avoided == m_avoided.end() || avoided->second.loss != Loss::Stale)
            continue;
        const auto channel = m_connector.connect(it.addresses, { [](std::string_view) {}, [] {}, [] {} });
        if (!channel)
            continue;
        channel->send(encodeSourceMessage(SubscribeMessage { m_lease.instance(), m_lease.incarnation(), m_lease.addresses() }));
        channel->send(encodeSourceMessage(LeaveMessage { true }));
        m_loop.after(announcementTime, [channel] { channel->close(); });
    }
}

void SourceClient::send(const SourceMessage& message)
{
    m_link->channel->send(encodeSourceMessage(message));
}

void SourceClient::renew()
{
    if (!m_link)
        return;
    renewAfter(m_link->isAttached ? renewInterval : firstAnswerTimeout);
    m_link->renewals[++m_lastNumber] = m_loop.now();
    send(RenewMessage { m_lastNumber, m_lease.confirmedEpoch(), m_lease.sessionCount() });
}

void SourceClient::renewAfter(Milliseconds delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] { tick(); });
}

// Renews again as soon as the source may have passed the greatest age, so that a loss of the platform is noticed at once.
void SourceClient::scheduleRenewal(Milliseconds platformAge)
{
    if (platformAge > m_maxPlatformAge)
        renewAfter(staleRenewInterval);
    else if (platformAge + renewInterval > m_maxPlatformAge)
        renewAfter(std::max(m_maxPlatformAge - platformAge, minRenewInterval));
}

void SourceClient::addCandidate(const LeaseMember& holder)
{
    const bool isOwn = holder.instance == m_lease.instance();
    const bool isOfOtherDomain = holder.addresses.failureDomain != m_lease.addresses().failureDomain;
    if (isOwn || isOfOtherDomain || holder.addresses.sourcePort == 0)
        return;
    auto candidates = m_candidates;
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [&holder](const Peer& it) { return it.instance == holder.instance; }), candidates.end());
    candidates.push_back({ holder.instance, holder.addresses, true });
    setCandidates(candidates);
}

bool SourceClient::moveFromStale()
{
    if (!isStale() || !nextCandidate())
        return false;
    lose("the source has not reached the platform for some time", Loss::Stale);
    return true;
}

void SourceClient::tick()
{
    m_timer = TimerId::None;
    m_lease.reportValidity();
    const auto& renewals = m_link->renewals;
    const Milliseconds timeout = m_link->isAttached ? answerTimeout : firstAnswerTimeout;
    if (!renewals.empty() && std::max(renewals.begin()->second, m_link->receivedAt) + timeout <= m_loop.now())
        return lose("a renewal was not answered", Loss::Silent);
    renew();
}

void SourceClient::applyLine(std::string_view line)
{
    auto message = decodeSourceMessage(line);
    if (!message.ok())
        return reject(message.status());
    std::visit([this](auto& it) { apply(it); }, *message);
}

void SourceClient::reject(const absl::Status& status)
{
    m_log.write("peer_message_rejected", { { "source", m_link->source.instance.value() }, { "why", std::string(status.message()) } });
    lose("a malformed message");
}

void SourceClient::apply(const GrantMessage& message)
{
    auto it = m_link->renewals.find(message.number);
    if (it == m_link->renewals.end())
        return;
    const Instant sentAt = it->second;
    m_link->renewals.erase(m_link->renewals.begin(), std::next(it));
    const bool isGranted = message.duration > Milliseconds(0);
    if (isGranted)
        m_lease.extendByGrant(sentAt + std::min(message.duration, InstanceLease::grantDuration));
    scheduleRenewal(message.platformAge);
    if (!isGranted)
        renewAfter(shortRenewInterval);
    m_rows.confirmThroughSource(sentAt - message.configurationAge.value_or(message.platformAge));
    m_link->isStale = message.platformAge > m_maxPlatformAge;
    if (m_link->isStale && message.newHolder)
        addCandidate(*message.newHolder);
    if (m_link->isStale && nextCandidate())
        return lose("the source has not reached the platform for " + std::to_string(static_cast<int64_t>(message.platformAge.count())) + " ms", Loss::Stale);
    if (!m_link->isAttached)
        attach();
    if (isGranted)
        m_callbacks.onGranted();
    if (isStale())
        m_callbacks.onStale();
}

void SourceClient::attach()
{
    m_link->isAttached = true;
    m_log.write("source_gained", { { "source", m_link->source.instance.value() }, { "epoch", std::to_string(m_lease.confirmedEpoch().value()) } });
    m_callbacks.onAttached();
}

// The source need not wait until the rows are decoded.
void SourceClient::apply(TableReply& message)
{
    const auto link = m_link;
    if (message.needsConfirmation)
        send(ReceivedMessage { message.id });
    // The channel closes when it can take no more. Then another source, if there is one, is asked for the rows.
    if (m_link != link)
        return;
    if (const auto status = decompressRows(message); !status.ok())
        return reject(status);
    m_rows.applyReply(message);
}

void SourceClient::apply(const StopMessage&)
{
    lose("the source stops");
}

template <typename Message>
void SourceClient::apply(const Message&)
{
    lose("a message that only subscribers send");
}

// The grants of the lost source stay valid until they expire, which the source waits for.
void SourceClient::lose(const std::string& why, Loss loss)
{
    const auto link = std::exchange(m_link, nullptr);
    m_loop.cancel(std::exchange(m_timer, TimerId::None));
    link->channel->close();
    m_avoided[link->source.instance] = { m_loop.now() + avoidanceTime, loss };
    m_log.write("source_lost", { { "source", link->source.instance.value() }, { "why", why }, { "was_attached", link->isAttached ? "yes" : "no" } });
    connectNext();
}

}
