#include "distribution/TcpPeerChannel.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr uint16_t testPort = 39'417;

/// Both ends of a channel on the loopback interface.
struct ChannelFixture {
    std::unique_ptr<PollLoop> loop { *PollLoop::create() };
    TcpPeerConnector connector { *loop };
    std::unique_ptr<TcpPeerListener> listener;
    std::shared_ptr<PeerChannel> accepted;
    std::vector<std::string> lines;
    bool isAcceptedClosed { false };

    ChannelFixture()
    {
        auto created = TcpPeerListener::create(*loop, "127.0.0.1", testPort, [this](std::shared_ptr<PeerChannel> channel) {
            accepted = std::move(channel);
            return PeerChannelCallbacks { [this](std::string_view line) { lines.emplace_back(line); }, [this] { isAcceptedClosed = true; } };
        });
        REQUIRE(created.ok());
        listener = *std::move(created);
    }

    std::shared_ptr<PeerChannel> connect(PeerChannelCallbacks callbacks)
    {
        return connector.connect({ FailureDomainId(), "127.0.0.1", 0, 0, testPort, 0 }, std::move(callbacks));
    }

    /// Runs the loop until `isDone` or for 5 s.
    void runUntil(std::function<bool()> isDone)
    {
        bool isLate = false;
        const TimerId limit = loop->after(Milliseconds(5000), [this, &isLate] {
            isLate = true;
            loop->stop();
        });
        std::function<void()> check = [&] {
            if (isLate)
                return;
            if (isDone())
                return loop->stop();
            loop->after(Milliseconds(1), check);
        };
        check();
        if (!isDone())
            loop->run();
        loop->cancel(limit);
        CHECK_FALSE(isLate);
    }
};

}

TEST_CASE("a channel carries lines in both directions", "[distribution]")
{
    ChannelFixture fixture;
    std::vector<std::string> answers;
    auto channel = fixture.connect({ [&answers](std::string_view line) { answers.emplace_back(line); }, [] {} });
    REQUIRE(channel);
    channel->send("one");
    channel->send(std::string(300'000, 'x'));
    fixture.runUntil([&] { return fixture.lines.size() == 2; });
    CHECK(fixture.lines.front() == "one");
    CHECK(fixture.lines.back().size() == 300'000);
    fixture.accepted->send("two");
    fixture.runUntil([&] { return answers.size() == 1; });
    CHECK(answers.front() == "two");
}

TEST_CASE("a channel is closed at both ends, and a line that is too long closes it", "[distribution]")
{
    ChannelFixture fixture;
    bool isClosed = false;
    auto channel = fixture.connect({ [](std::string_view) {}, [&isClosed] { isClosed = true; } });
    REQUIRE(channel);
    SECTION("by the peer")
    {
        channel->send("one");
        fixture.runUntil([&] { return fixture.lines.size() == 1; });
        fixture.accepted->close();
        fixture.runUntil([&] { return isClosed; });
        CHECK_FALSE(fixture.isAcceptedClosed);
    }
    SECTION("by a line without an end")
    {
        channel->send(std::string(2'100'000, 'x'));
        fixture.runUntil([&] { return fixture.isAcceptedClosed && isClosed; });
        CHECK(fixture.lines.empty());
    }
}

TEST_CASE("a connection that is refused is reported", "[distribution]")
{
    ChannelFixture fixture;
    fixture.listener.reset();
    bool isClosed = false;
    auto channel = fixture.connect({ [](std::string_view) {}, [&isClosed] { isClosed = true; } });
    fixture.runUntil([&] { return isClosed || !channel; });
}
