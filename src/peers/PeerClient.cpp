#include "peers/PeerClient.h"

#include "net/SizedWork.h"
#include "peers/PeerCall.h"
#include "peers/PeerPaths.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <optional>

// Runs libcurl's multi interface on the daemon's event loop: curl's callbacks register the descriptors and the timer that
// it waits for.

namespace parsleypaddle {

namespace {

    constexpr size_t idleCallLimit = 256;
    constexpr long defaultMaxIdleSeconds = 100;
    constexpr double millisecondsPerSecond = 1000;
    constexpr size_t workerQueueLimit = 1024;

    size_t statementBytes(const SqlStatement& statement)
    {
        size_t bytes = statement.text.size();
        for (const auto& it : statement.parameters)
            bytes += it ? it->size() : 0;
        return bytes;
    }

    HomeReply notSentReply(const HomeCall& call, ResultCode code, const std::string& message)
    {
        HomeReply reply;
        reply.answer.id = call.request.id;
        reply.answer.code = code;
        reply.answer.message = message;
        return reply;
    }

}

class PeerClient::Internals {
public:
    Internals(PollLoop& loop, PeerClientSettings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
    {
    }

    ~Internals();

    absl::Status initialize();
    void setPeers(const std::vector<InstanceEntry>&);
    void call(const InstanceId&, const HomeCall&, Done);
    size_t transfersInFlight() const { return m_calls.size(); }

private:
    struct Peer {
        std::string url;
        /// When a call to this peer last ended with PeerSilent.
        std::optional<Instant> silentAt;
    };

    static int onSocket(CURL*, curl_socket_t, int what, void* internals, void* watched);
    static int onTimer(CURLM*, long timeoutMilliseconds, void* internals);

    /// Lets curl process a ready descriptor or an expired timer, then finishes the completed transfers.
    void runSocketAction(curl_socket_t, int ready);
    void finishCompletedTransfers();
    void startTransfer(const InstanceId&, const HomeCall&, std::string body, Done);
    /// Removes a transfer and delivers the reply that `decode` returns. `bytes` is the size of the body that `decode` parses;
    /// for a large body, it runs on a worker thread unless the workers' queue is full.
    void endTransfer(CURL*, size_t bytes, std::function<HomeReply()> decode);
    void deliverReply(const InstanceId&, const HomeReply&, const Done&);
    /// Ends the call with the reply for a passed deadline, unless its transfer has already ended.
    void expireCall(CURL*);
    /// Invokes the callback from the loop rather than within call().
    void deliverReplyLater(HomeReply, Done);
    /// The longest idle time of a connection to the peer that may still be reused.
    long maxIdleSeconds(const Peer&) const;
    std::unique_ptr<PeerCall> acquirePeerCall();

    PollLoop& m_loop;
    PeerClientSettings m_settings;
    std::unique_ptr<WorkerPool> m_workers;
    CURLM* m_multi { nullptr };
    TimerId m_timer { TimerId::None };
    absl::flat_hash_map<InstanceId, Peer> m_peers;
    absl::flat_hash_map<CURL*, std::unique_ptr<PeerCall>> m_calls;
    std::vector<std::unique_ptr<PeerCall>> m_idleCalls;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

PeerClient::Internals::~Internals()
{
    for (auto& [handle, call] : m_calls) {
        m_loop.cancel(call->timer);
        curl_multi_remove_handle(m_multi, handle);
    }
    if (m_multi)
        curl_multi_cleanup(m_multi);
    m_loop.cancel(m_timer);
}

absl::Status PeerClient::Internals::initialize()
{
    auto workers = WorkerPool::create(m_loop, m_settings.workerThreads, workerQueueLimit);
    if (!workers.ok())
        return workers.status();
    m_workers = *std::move(workers);
    m_multi = curl_multi_init();
    if (!m_multi)
        return absl::ResourceExhaustedError("curl_multi_init() failed");
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Internals::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Internals::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(m_settings.connectionsPerPeer));
    return absl::OkStatus();
}

void PeerClient::Internals::setPeers(const std::vector<InstanceEntry>& entries)
{
    absl::flat_hash_map<InstanceId, Peer> peers;
    for (const auto& it : entries) {
        const std::string host = it.host.find(':') == std::string::npos ? it.host : absl::StrCat("[", it.host, "]");
        Peer peer { absl::StrCat("http://", host, ":", it.port, homeCallPath), std::nullopt };
        auto known = m_peers.find(it.instance);
        if (known != m_peers.end() && known->second.url == peer.url)
            peer.silentAt = known->second.silentAt;
        peers.emplace(it.instance, std::move(peer));
    }
    m_peers = std::move(peers);
}

void PeerClient::Internals::call(const InstanceId& instance, const HomeCall& call, Done done)
{
    const size_t bytes = statementBytes(call.request.statement);
    if (bytes < largeMessageBytes) {
        startTransfer(instance, call, PeerCall::encode(call, m_loop.now()), std::move(done));
        return;
    }
    auto shared = std::make_shared<const HomeCall>(call);
    const auto encode = [shared, now = m_loop.now()] { return PeerCall::encode(*shared, now); };
    runOnWorkerIfLarge(*m_workers, bytes, encode, [this, alive = std::weak_ptr<bool>(m_isAlive), instance, shared, done = std::move(done)](std::string body) {
        if (!alive.expired())
            startTransfer(instance, *shared, std::move(body), done);
    });
}

void PeerClient::Internals::startTransfer(const InstanceId& instance, const HomeCall& call, std::string body, Done done)
{
    const Instant now = m_loop.now();
    if (call.request.deadline <= now) {
        deliverReplyLater(notSentReply(call, ResultCode::DeadlinePassed, "the deadline passed before the call was sent to the peer"), std::move(done));
        return;
    }
    auto peer = m_peers.find(instance);
    auto peerCall = peer == m_peers.end() ? nullptr : acquirePeerCall();
    if (!peerCall) {
        deliverReplyLater(notSentReply(call, ResultCode::PeerUnreachable, absl::StrCat(instance.value(), ": not in the list of peers, or no curl handle could be created")), std::move(done));
        return;
    }
    peerCall->prepare({ instance, peer->second.url, maxIdleSeconds(peer->second) }, call, std::move(body), std::move(done));
    CURL* handle = peerCall->handle();
    peerCall->timer = m_loop.after(call.request.deadline - now, [this, handle] { expireCall(handle); });
    m_calls.emplace(handle, std::move(peerCall));
    curl_multi_add_handle(m_multi, handle);
}

int PeerClient::Internals::onSocket(CURL*, curl_socket_t descriptor, int what, void* internals, void*)
{
    auto* self = static_cast<Internals*>(internals);
    if (what == CURL_POLL_REMOVE) {
        self->m_loop.unwatch(descriptor);
        return 0;
    }
    Readiness interest = Readiness::None;
    if (what & CURL_POLL_IN)
        interest = interest | Readiness::Read;
    if (what & CURL_POLL_OUT)
        interest = interest | Readiness::Write;
    self->m_loop.watch(descriptor, interest, [self, descriptor](Readiness ready) {
        int bits = 0;
        if (has(ready, Readiness::Read))
            bits |= CURL_CSELECT_IN;
        if (has(ready, Readiness::Write))
            bits |= CURL_CSELECT_OUT;
        if (has(ready, Readiness::Failure))
            bits |= CURL_CSELECT_ERR;
        self->runSocketAction(descriptor, bits);
    });
    return 0;
}

int PeerClient::Internals::onTimer(CURLM*, long timeoutMilliseconds, void* internals)
{
    auto* self = static_cast<Internals*>(internals);
    self->m_loop.cancel(self->m_timer);
    self->m_timer = TimerId::None;
    if (timeoutMilliseconds < 0)
        return 0;
    self->m_timer = self->m_loop.after(Milliseconds(static_cast<double>(timeoutMilliseconds)), [self] {
        self->m_timer = TimerId::None;
        self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void PeerClient::Internals::runSocketAction(curl_socket_t descriptor, int ready)
{
    int running = 0;
    curl_multi_socket_action(m_multi, descriptor, ready, &running);
    finishCompletedTransfers();
}

void PeerClient::Internals::finishCompletedTransfers()
{
    // The callback that receives a reply may destroy this client.
    const std::weak_ptr<bool> alive = m_isAlive;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto it = m_calls.find(message->easy_handle);
        if (it != m_calls.end())
            endTransfer(it->first, it->second->receivedBytes(), it->second->makeReplyDecoder(message->data.result, m_loop.now()));
        if (alive.expired())
            return;
    }
}

void PeerClient::Internals::endTransfer(CURL* handle, size_t bytes, std::function<HomeReply()> decode)
{
    auto node = m_calls.extract(handle);
    std::unique_ptr<PeerCall> call = std::move(node.mapped());
    m_loop.cancel(call->timer);
    curl_multi_remove_handle(m_multi, handle);
    const InstanceId peer = call->peer();
    const Done done = call->resetForReuse();
    if (m_idleCalls.size() < idleCallLimit)
        m_idleCalls.push_back(std::move(call));
    runOnWorkerIfLarge(*m_workers, bytes, std::move(decode), [this, alive = std::weak_ptr<bool>(m_isAlive), peer, done](const HomeReply& reply) {
        if (!alive.expired())
            deliverReply(peer, reply, done);
    });
}

void PeerClient::Internals::deliverReply(const InstanceId& instance, const HomeReply& reply, const Done& done)
{
    auto peer = m_peers.find(instance);
    if (peer != m_peers.end() && reply.answer.code == ResultCode::PeerSilent)
        peer->second.silentAt = m_loop.now();
    done(reply);
}

void PeerClient::Internals::expireCall(CURL* handle)
{
    auto it = m_calls.find(handle);
    if (it != m_calls.end())
        endTransfer(handle, 0, [reply = it->second->makeDeadlineReply()] { return reply; });
}

void PeerClient::Internals::deliverReplyLater(HomeReply reply, Done done)
{
    m_loop.after(Milliseconds(0), [alive = std::weak_ptr<bool>(m_isAlive), reply = std::move(reply), done = std::move(done)] {
        if (!alive.expired())
            done(reply);
    });
}

long PeerClient::Internals::maxIdleSeconds(const Peer& peer) const
{
    if (!peer.silentAt)
        return defaultMaxIdleSeconds;
    // The fault that made one call fail may affect other connections to this peer, so connections that have been idle since
    // before it are not reused. curl takes the limit in whole seconds, and it is at least 1 here, so a connection that went
    // idle shortly before the fault may still be reused.
    const auto seconds = static_cast<long>((m_loop.now() - *peer.silentAt).count() / millisecondsPerSecond);
    return std::clamp(seconds, 1L, defaultMaxIdleSeconds);
}

std::unique_ptr<PeerCall> PeerClient::Internals::acquirePeerCall()
{
    if (m_idleCalls.empty())
        return PeerCall::create(m_settings);
    auto call = std::move(m_idleCalls.back());
    m_idleCalls.pop_back();
    return call;
}

absl::StatusOr<std::unique_ptr<PeerClient>> PeerClient::create(PollLoop& loop, PeerClientSettings settings)
{
    std::unique_ptr<PeerClient> client(new PeerClient);
    client->m_internals = std::make_unique<Internals>(loop, std::move(settings));
    if (auto status = client->m_internals->initialize(); !status.ok())
        return status;
    return client;
}

PeerClient::PeerClient() = default;

PeerClient::~PeerClient() = default;

void PeerClient::setPeers(const std::vector<InstanceEntry>& entries)
{
    m_internals->setPeers(entries);
}

void PeerClient::call(const InstanceId& instance, const HomeCall& call, Done done)
{
    m_internals->call(instance, call, std::move(done));
}

size_t PeerClient::transfersInFlight() const
{
    return m_internals->transfersInFlight();
}

}
