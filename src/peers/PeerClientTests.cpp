#include "peers/PeerClient.h"

#include "base/ResultCode.h"
#include "gateway/Gateway.h"
#include "peers/HomeCallJson.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

const InstanceId peerName { "peer-1" };

InstanceEntry entryAt(uint16_t port)
{
    InstanceEntry entry;
    entry.instance = peerName;
    entry.host = "127.0.0.1";
    entry.port = port;
    return entry;
}

/// A client, and a gateway as its peer, on one loop.
struct PeerPair {
    explicit PeerPair(const std::string& clientKey = "key")
    {
        loop = *PollLoop::create();
        GatewaySettings settings;
        settings.peerKeys = { "key" };
        GatewayHandlers handlers;
        handlers.onHomeCall = [this](const HomeCall& call, const std::function<void(HomeReply)>& done) { onHomeCall(call, done); };
        gateway = *Gateway::create(*loop, settings, handlers);
        PeerClientSettings clientSettings;
        clientSettings.key = clientKey;
        client = *PeerClient::create(*loop, clientSettings);
        client->setPeers({ entryAt(gateway->port()) });
    }

    HomeCall callWith(const std::string& id, Milliseconds left = Milliseconds(5000), HomeOperation operation = HomeOperation::Write) const
    {
        HomeCall call;
        call.operation = operation;
        call.request.id = RequestId(id);
        call.request.deadline = loop->now() + left;
        return call;
    }

    /// Makes one call and runs the loop until it is answered.
    HomeReply callAndWait(const HomeCall& call, const InstanceId& peer = peerName)
    {
        HomeReply answered;
        client->call(peer, call, [&](const HomeReply& reply) {
            answered = reply;
            loop->post([this] { loop->stop(); });
        });
        loop->run();
        return answered;
    }

    std::unique_ptr<PollLoop> loop;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<PeerClient> client;
    std::function<void(const HomeCall&, std::function<void(HomeReply)>)> onHomeCall;
};

HomeReply doneReply(const HomeCall& call)
{
    HomeReply reply;
    reply.answer.id = call.request.id;
    reply.answer.code = ResultCode::Done;
    return reply;
}

/// A peer that answers the first request of a connection and breaks the connection at the second one.
class BreakingPeer {
public:
    explicit BreakingPeer(PollLoop& loop)
        : m_loop(loop)
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        m_loop.watch(m_listener.impl()->sockfd(), Readiness::Read, [this](Readiness) { accept(); });
    }

    ~BreakingPeer()
    {
        m_loop.unwatch(m_listener.impl()->sockfd());
        drop();
    }

    BreakingPeer(const BreakingPeer&) = delete;
    BreakingPeer& operator=(const BreakingPeer&) = delete;

    uint16_t port() const { return m_listener.address().port(); }
    int requests() const { return m_requests; }

private:
    void accept()
    {
        drop();
        m_connection = std::make_unique<Poco::Net::StreamSocket>(m_listener.acceptConnection());
        m_requestsOfConnection = 0;
        m_loop.watch(m_connection->impl()->sockfd(), Readiness::Read, [this](Readiness) { receive(); });
    }

    void receive()
    {
        std::array<char, 16384> buf {};
        if (m_connection->receiveBytes(buf.data(), buf.size()) <= 0) {
            drop();
            return;
        }
        ++m_requests;
        if (++m_requestsOfConnection > 1) {
            drop();
            return;
        }
        const std::string body = encodeHomeReply(doneReply({}), m_loop.now());
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_connection->sendBytes(text.data(), static_cast<int>(text.size()));
    }

    void drop()
    {
        if (!m_connection)
            return;
        m_loop.unwatch(m_connection->impl()->sockfd());
        m_connection.reset();
    }

    PollLoop& m_loop;
    Poco::Net::ServerSocket m_listener;
    std::unique_ptr<Poco::Net::StreamSocket> m_connection;
    int m_requests { 0 };
    int m_requestsOfConnection { 0 };
};

}

TEST_CASE("each of many calls gets its own reply, whatever their order", "[peers]")
{
    constexpr int callCount = 300;
    PeerPair pair;
    const auto seed = Catch::rngSeed();
    CAPTURE(seed);
    std::mt19937 random(seed);
    pair.onHomeCall = [&](const HomeCall& call, const std::function<void(HomeReply)>& done) {
        const double delay = std::uniform_real_distribution<>(0, 5)(random);
        pair.loop->after(Milliseconds(delay), [call, done] { done(doneReply(call)); });
    };
    int right = 0;
    int answered = 0;
    for (int n = 0; n < callCount; ++n) {
        const std::string id = "1700000000000-" + std::to_string(n);
        pair.client->call(peerName, pair.callWith(id), [&, id](const HomeReply& reply) {
            right += reply.answer.code == ResultCode::Done && reply.answer.id.value() == id ? 1 : 0;
            if (++answered == callCount)
                pair.loop->stop();
        });
    }
    pair.loop->run();
    CHECK(right == callCount);
    CHECK(pair.client->callsInFlight() == 0);
}

TEST_CASE("a call and a reply of several megabytes pass whole", "[peers]")
{
    PeerPair pair;
    pair.onHomeCall = [&](const HomeCall& call, const std::function<void(HomeReply)>& done) {
        HomeReply reply = doneReply(call);
        reply.answer.rows.values = { call.request.statement.parameters };
        done(reply);
    };
    HomeCall call = pair.callWith("a", Milliseconds(60'000));
    call.request.statement.parameters = { std::string(size_t { 3 } * 1024 * 1024, 'x'), std::nullopt, "y" };
    const auto reply = pair.callAndWait(call);
    CHECK(reply.answer.code == ResultCode::Done);
    REQUIRE(reply.answer.rows.values.size() == 1);
    CHECK(reply.answer.rows.values[0] == call.request.statement.parameters);
}

TEST_CASE("a call that was not delivered is told apart from one that may have been", "[peers]")
{
    PeerPair pair;
    SECTION("an unknown instance")
    {
        CHECK(pair.callAndWait(pair.callWith("a"), InstanceId("other")).answer.code == ResultCode::PeerUnreachable);
    }
    SECTION("nobody listens")
    {
        pair.gateway.reset();
        const auto reply = pair.callAndWait(pair.callWith("a"));
        CHECK(reply.answer.code == ResultCode::PeerUnreachable);
        CHECK(reply.answer.id == RequestId("a"));
    }
    SECTION("the deadline is over")
    {
        CHECK(pair.callAndWait(pair.callWith("a", Milliseconds(0))).answer.code == ResultCode::DeadlinePassed);
    }
    SECTION("the peer does not answer by the deadline")
    {
        std::function<void(HomeReply)> held;
        HomeCall received;
        pair.onHomeCall = [&](const HomeCall& call, const std::function<void(HomeReply)>& done) {
            received = call;
            held = done;
        };
        const auto call = pair.callWith("a", Milliseconds(60));
        CHECK(pair.callAndWait(call).answer.code == ResultCode::PeerSilent);
        CHECK(pair.loop->now() >= call.request.deadline);
        CHECK(received.request.deadline < call.request.deadline + Milliseconds(60));
        held(doneReply(received));
    }
    SECTION("the peer refuses the key")
    {
        PeerPair stranger("wrong");
        CHECK(stranger.callAndWait(stranger.callWith("a")).answer.code == ResultCode::KeyRefused);
        CHECK(stranger.gateway->counts().keysRefused == 1);
    }
    CHECK(pair.client->callsInFlight() == 0);
}

TEST_CASE("a write on a kept connection that breaks is not sent again, a read is", "[peers]")
{
    PeerPair pair;
    BreakingPeer peer(*pair.loop);
    pair.client->setPeers({ entryAt(peer.port()) });
    REQUIRE(pair.callAndWait(pair.callWith("a")).answer.code == ResultCode::Done);
    SECTION("write")
    {
        CHECK(pair.callAndWait(pair.callWith("b")).answer.code == ResultCode::PeerSilent);
        CHECK(peer.requests() == 2);
    }
    SECTION("read")
    {
        CHECK(pair.callAndWait(pair.callWith("b", Milliseconds(5000), HomeOperation::Read)).answer.code == ResultCode::Done);
        CHECK(peer.requests() == 3);
    }
}
