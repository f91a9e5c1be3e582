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

/// A client and the gateway that it calls as its peer, on one loop.
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

    HomeCall callWith(const std::string& id, Milliseconds remaining = Milliseconds(5000), HomeOperation operation = HomeOperation::Write) const
    {
        HomeCall call;
        call.operation = operation;
        call.request.id = RequestId(id);
        call.request.deadline = loop->now() + remaining;
        return call;
    }

    /// Makes one call and runs the loop until the reply arrives.
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

/// A peer that answers the first request on each connection and closes the connection on the second one.
class BreakingPeer {
public:
    explicit BreakingPeer(PollLoop& loop)
        : m_loop(loop)
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        m_loop.watch(m_listener.impl()->sockfd(), Readiness::Read, [this](Readiness) { acceptClient(); });
    }

    ~BreakingPeer()
    {
        m_loop.unwatch(m_listener.impl()->sockfd());
        closeConnection();
    }

    BreakingPeer(const BreakingPeer&) = delete;
    BreakingPeer& operator=(const BreakingPeer&) = delete;

    uint16_t port() const { return m_listener.address().port(); }
    int requests() const { return m_requests; }

private:
    void acceptClient()
    {
        closeConnection();
        m_connection = std::make_unique<Poco::Net::StreamSocket>(m_listener.acceptConnection());
        m_requestsOfConnection = 0;
        m_loop.watch(m_connection->impl()->sockfd(), Readiness::Read, [this](Readiness) { receive(); });
    }

    void receive()
    {
        std::array<char, 16384> buf {};
        if (m_connection->receiveBytes(buf.data(), buf.size()) <= 0) {
            closeConnection();
            return;
        }
        ++m_requests;
        if (++m_requestsOfConnection > 1) {
            closeConnection();
            return;
        }
        const std::string body = encodeHomeReply(doneReply({}), m_loop.now());
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_connection->sendBytes(text.data(), static_cast<int>(text.size()));
    }

    void closeConnection()
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

TEST_CASE("each of many concurrent calls receives its own reply, in whatever order the peer answers", "[peers]")
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
    int correctReplies = 0;
    int answered = 0;
    for (int n = 0; n < callCount; ++n) {
        const std::string id = "1700000000000-" + std::to_string(n);
        pair.client->call(peerName, pair.callWith(id), [&, id](const HomeReply& reply) {
            correctReplies += reply.answer.code == ResultCode::Done && reply.answer.id.value() == id ? 1 : 0;
            if (++answered == callCount)
                pair.loop->stop();
        });
    }
    pair.loop->run();
    CHECK(correctReplies == callCount);
    CHECK(pair.client->transfersInFlight() == 0);
}

TEST_CASE("a call and a reply of several megabytes arrive complete", "[peers]")
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

TEST_CASE("the result code shows whether a failed call may have been delivered", "[peers]")
{
    PeerPair pair;
    SECTION("an unknown instance")
    {
        CHECK(pair.callAndWait(pair.callWith("a"), InstanceId("other")).answer.code == ResultCode::PeerUnreachable);
    }
    SECTION("no process listens on the peer's port")
    {
        pair.gateway.reset();
        const auto reply = pair.callAndWait(pair.callWith("a"));
        CHECK(reply.answer.code == ResultCode::PeerUnreachable);
        CHECK(reply.answer.id == RequestId("a"));
    }
    SECTION("the deadline has passed")
    {
        CHECK(pair.callAndWait(pair.callWith("a", Milliseconds(0))).answer.code == ResultCode::DeadlinePassed);
    }
    SECTION("the peer does not answer by the deadline")
    {
        std::function<void(HomeReply)> pendingDone;
        HomeCall received;
        pair.onHomeCall = [&](const HomeCall& call, const std::function<void(HomeReply)>& done) {
            received = call;
            pendingDone = done;
        };
        const auto call = pair.callWith("a", Milliseconds(60));
        CHECK(pair.callAndWait(call).answer.code == ResultCode::PeerSilent);
        CHECK(pair.loop->now() >= call.request.deadline);
        CHECK(received.request.deadline < call.request.deadline + Milliseconds(60));
        pendingDone(doneReply(received));
    }
    SECTION("the peer refuses the key")
    {
        PeerPair pairWithWrongKey("wrong");
        CHECK(pairWithWrongKey.callAndWait(pairWithWrongKey.callWith("a")).answer.code == ResultCode::KeyRefused);
        CHECK(pairWithWrongKey.gateway->counts().rejectedKeys == 1);
    }
    CHECK(pair.client->transfersInFlight() == 0);
}

TEST_CASE("when a kept-alive connection breaks, a read is sent again and a write is not", "[peers]")
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
