#include "distribution/SourceService.h"

#include <algorithm>
#include <map>
#include <vector>

namespace parsleypaddle {

namespace {

    /// Channels beyond this number are closed at once. A failure domain of the largest fleets has some 80 daemons.
    constexpr size_t maxSubscribers = 512;
    /// A subscriber sends several messages in this time.
    constexpr Milliseconds silenceTimeout { 5000 };
    constexpr Milliseconds silenceCheckInterval { 2500 };
    /// All subscribers report several times in this time.
    constexpr Milliseconds newHolderTime { 3000 };

}

/// A channel to a daemon, which has subscribed if its instance is known.
struct SourceService::Subscriber {
    std::shared_ptr<PeerChannel> channel;
    InstanceId instance;
    std::string incarnation;
    PeerEndpoint addresses;
    Instant lastLineAt;
    /// The latest unanswered request for each table, by table and whether the whole table is asked for.
    std::map<std::pair<std::string, bool>, TableRequest> requests;

    void send(const SourceMessage& message) const { channel->send(encodeSourceMessage(message)); }
};

SourceService::SourceService(EventLoop& loop, SharedRows& rows, InstanceLease& lease, DecisionLog& log)
    : m_loop(loop)
    , m_rows(rows)
    , m_lease(lease)
    , m_log(log)
{
    m_rows.onCopyChanged([this](const std::string& table) { answerAll(table); });
}

SourceService::~SourceService()
{
    m_loop.cancel(m_silenceTimer);
    m_rows.onCopyChanged([](const std::string&) {});
    for (const auto& it : m_subscribers)
        it->channel->close();
}

PeerChannelCallbacks SourceService::accept(std::shared_ptr<PeerChannel> channel)
{
    auto subscriber = std::make_shared<Subscriber>();
    subscriber->channel = std::move(channel);
    if (m_subscribers.size() >= maxSubscribers) {
        m_log.write("subscriber_rejected", { { "why", "too many channels" }, { "channels", std::to_string(m_subscribers.size()) } });
        subscriber->channel->close();
        return { [](std::string_view) {}, [] {} };
    }
    subscriber->lastLineAt = m_loop.now();
    m_subscribers.insert(subscriber);
    scheduleSilenceCheck();
    std::weak_ptr<Subscriber> weak = subscriber;
    return {
        [this, weak](std::string_view line) {
            if (auto it = weak.lock())
                applyLine(it, line);
        },
        [this, weak] {
            if (auto it = weak.lock())
                drop(it, "the channel was closed");
        },
    };
}

void SourceService::setServing(bool isServing)
{
    if (std::exchange(m_isServing, isServing) == isServing || isServing)
        return;
    for (const auto& it : m_subscribers)
        it->send(StopMessage {});
}

size_t SourceService::subscribers() const
{
    return static_cast<size_t>(std::count_if(m_subscribers.begin(), m_subscribers.end(), [](const auto& it) { return !it->instance.isEmpty(); }));
}

void SourceService::applyLine(const std::shared_ptr<Subscriber>& subscriber, std::string_view line)
{
    subscriber->lastLineAt = m_loop.now();
    const auto message = decodeSourceMessage(line);
    if (!message.ok())
        return reject(subscriber, std::string(message.status().message()));
    const bool isFirst = subscriber->instance.isEmpty();
    if (isFirst != std::holds_alternative<SubscribeMessage>(*message))
        return reject(subscriber, isFirst ? "expected a subscribe message first" : "a second subscribe message");
    std::visit([this, &subscriber](const auto& it) { apply(subscriber, it); }, *message);
}

void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const SubscribeMessage& message)
{
    if (message.instance.isEmpty() || message.instance == m_lease.instance())
        return reject(subscriber, "subscribe message without the id of another daemon");
    if (!m_isServing) {
        subscriber->send(StopMessage {});
        return drop(subscriber, "this daemon does not serve subscribers");
    }
    dropEarlier(message.instance);
    subscriber->instance = message.instance;
    subscriber->incarnation = message.incarnation;
    subscriber->addresses = message.addresses;
    m_lease.addMember({ message.instance, message.addresses, 0 }, message.incarnation);
    m_log.write("subscriber_gained", { { "subscriber", message.instance.value() }, { "incarnation", message.incarnation }, { "subscribers", std::to_string(subscribers()) } });
}

// What a daemon sent over an earlier channel may arrive after it has subscribed again. Its message that it leaves would end the present
// grant, and a change of primary would not wait for it.
void SourceService::dropEarlier(const InstanceId& instance)
{
    const std::vector<std::shared_ptr<Subscriber>> subscribers(m_subscribers.begin(), m_subscribers.end());
    for (const auto& it : subscribers) {
        if (it->instance == instance)
            drop(it, "the daemon has subscribed again");
    }
}

void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const TableRequest& request)
{
    if (!m_rows.isDistributed(request.table))
        return reject(subscriber, "request for a table that is not distributed");
    subscriber->requests[{ request.table, request.isWhole }] = request;
    answerTable(*subscriber, request.table);
}

void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const RenewMessage& message)
{
    // A subscriber that was silent for some time may have been removed.
    m_lease.addMember({ subscriber->instance, subscriber->addresses, message.sessions }, subscriber->incarnation);
    const Milliseconds duration = m_lease.grant(subscriber->instance, subscriber->incarnation, message.epoch, message.sessions);
    const Milliseconds age = std::min(m_rows.platformAge(), m_lease.platformAge().value_or(m_rows.platformAge()));
    GrantMessage answer { message.number, duration, age };
    answer.configurationAge = m_rows.confirmationAge();
    if (m_loop.now() < m_newHolderUntil)
        answer.newHolder = m_newHolder;
    subscriber->send(answer);
}

void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const ReceivedMessage& message)
{
    if (m_transfers.finish({ subscriber.get(), message.id }))
        continueTransfers();
}

void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const LeaveMessage& message)
{
    m_lease.removeMember(subscriber->instance, subscriber->incarnation);
    if (message.holdsRow) {
        m_newHolder = LeaseMember { subscriber->instance, subscriber->addresses, 0 };
        m_newHolderUntil = m_loop.now() + newHolderTime;
    }
    drop(subscriber, "the subscriber has left");
}

template <typename Message>
void SourceService::apply(const std::shared_ptr<Subscriber>& subscriber, const Message&)
{
    reject(subscriber, "a message that only sources send");
}

void SourceService::answerTable(Subscriber& subscriber, const std::string& table)
{
    for (const bool isWhole : { true, false }) {
        auto it = subscriber.requests.find({ table, isWhole });
        if (it == subscriber.requests.end())
            continue;
        const EncodedRows* rows = rowsFor(it->second);
        if (!rows)
            continue;
        const uint64_t id = it->second.id;
        if (!m_transfers.tryStart({ &subscriber, id }, rows->text.size(), m_loop.now()))
            continue;
        subscriber.requests.erase(it);
        subscriber.channel->send(encodeTableReply(id, *rows, m_transfers.contains({ &subscriber, id })));
    }
}

const EncodedRows* SourceService::rowsFor(const TableRequest& request)
{
    const RowVersion version = m_rows.copyVersion(request.table);
    SentRows& sent = m_sentRows[{ request.table, request.isWhole }];
    const bool isSame = request.isWhole ? request.after <= version : request.after == sent.after;
    if (isSame && sent.version == version && !sent.rows.text.empty())
        return &sent.rows;
    const auto answer = m_rows.answer(request);
    if (!answer)
        return nullptr;
    sent = { request.after, answer->version, encodeRows(*answer) };
    return &sent.rows;
}

void SourceService::answerAll(const std::string& table)
{
    // A channel that cannot take more is dropped while it is written to.
    const std::vector<std::shared_ptr<Subscriber>> subscribers(m_subscribers.begin(), m_subscribers.end());
    for (const auto& it : subscribers)
        answerTable(*it, table);
}

void SourceService::continueTransfers()
{
    const std::vector<std::shared_ptr<Subscriber>> subscribers(m_subscribers.begin(), m_subscribers.end());
    for (const auto& it : subscribers) {
        std::set<std::string> tables;
        for (const auto& [request, details] : it->requests)
            tables.insert(request.first);
        for (const auto& table : tables)
            answerTable(*it, table);
    }
}

// Closes the channel only: what the daemon was granted lasts until it expires.
void SourceService::reject(const std::shared_ptr<Subscriber>& subscriber, std::string_view why)
{
    m_log.write("peer_message_rejected", { { "subscriber", subscriber->instance.value() }, { "why", std::string(why) } });
    drop(subscriber, why);
}

void SourceService::drop(const std::shared_ptr<Subscriber>& subscriber, std::string_view why)
{
    if (m_subscribers.erase(subscriber) == 0)
        return;
    subscriber->channel->close();
    if (m_transfers.finishAll(subscriber.get()))
        m_loop.after(Milliseconds(0), [this, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                continueTransfers();
        });
    if (!subscriber->instance.isEmpty())
        m_log.write("subscriber_lost", { { "subscriber", subscriber->instance.value() }, { "why", std::string(why) }, { "subscribers", std::to_string(subscribers()) } });
}

void SourceService::scheduleSilenceCheck()
{
    if (m_silenceTimer == TimerId::None && !m_subscribers.empty())
        m_silenceTimer = m_loop.after(silenceCheckInterval, [this] { dropSilent(); });
}

// A channel can fall silent for good without being closed.
void SourceService::dropSilent()
{
    m_silenceTimer = TimerId::None;
    const std::vector<std::shared_ptr<Subscriber>> subscribers(m_subscribers.begin(), m_subscribers.end());
    for (const auto& it : subscribers) {
        if (it->lastLineAt + silenceTimeout <= m_loop.now())
            drop(it, "the channel is silent");
    }
    if (m_transfers.expire(m_loop.now()))
        continueTransfers();
    scheduleSilenceCheck();
}

}
