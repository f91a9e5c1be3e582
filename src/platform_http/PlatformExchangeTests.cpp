#include "platform_http/PlatformExchange.h"

#include "base/ResultCode.h"
#include "platform_ports/UnexecutedCall.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <thread>

using namespace parsleypaddle;

// Pattern: the platform accepts connections and answers nothing.
TEST_CASE("a platform that accepts and stays silent is given up after the timeout", "[platform_http]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    ReceivedBytes received { 0 };
    const auto response = exchangeWithPlatform(
        "127.0.0.1", silent.address().port(), [] { return Milliseconds(50); }, { "GET", "/", "", {} }, received);
    CHECK_FALSE(response.ok());
}

TEST_CASE("a platform that does not listen is told at once", "[platform_http]")
{
    uint16_t port = 0;
    {
        Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
        port = closed.address().port();
    }
    ReceivedBytes received { 0 };
    CHECK_FALSE(exchangeWithPlatform(
        "127.0.0.1", port, [] { return Milliseconds(50); }, { "GET", "/", "", {} }, received)
                    .ok());
}

// Guards against calls that act after they were given up: the kernel goes on sending what a closed connection has not delivered.
TEST_CASE("a call that is given up resets its connection", "[platform_http]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    ReceivedBytes received { 0 };
    CHECK_FALSE(exchangeWithPlatform(
        "127.0.0.1", silent.address().port(), [] { return Milliseconds(50); }, { "POST", "/", "body", {} }, received)
                    .ok());
    Poco::Net::StreamSocket connection = silent.acceptConnection();
    // What has arrived can still be read.
    std::array<char, 4096> buf {};
    CHECK(connection.receiveBytes(buf.data(), static_cast<int>(buf.size())) > 0);
    CHECK_THROWS_AS(connection.receiveBytes(buf.data(), static_cast<int>(buf.size())), Poco::Net::ConnectionResetException);
}

// Guards against the same when the thread of a call, or the whole instance, was paused.
TEST_CASE("a call whose time is over before it is sent is not sent", "[platform_http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    ReceivedBytes received { 0 };
    int asked = 0;
    const TimeLeft timeLeft = [&asked] { return ++asked == 1 ? Milliseconds(50) : Milliseconds(-1); };
    CHECK_FALSE(exchangeWithPlatform("127.0.0.1", listener.address().port(), timeLeft, { "POST", "/", "body", {} }, received).ok());
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    std::array<char, 4096> buf {};
    CHECK_THROWS_AS(connection.receiveBytes(buf.data(), static_cast<int>(buf.size())), Poco::Net::ConnectionResetException);
}

// Guards against a group that waits for a call that was never sent.
TEST_CASE("a call is reported as unexecuted only if no byte of it was written", "[platform_http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const uint16_t port = listener.address().port();
    ReceivedBytes received { 0 };
    int asked = 0;
    TimeLeft timeLeft = [] { return Milliseconds(50); };
    bool isUnexecuted = false;
    SECTION("the platform does not listen")
    {
        listener.close();
        isUnexecuted = true;
    }
    SECTION("the time is over before the connection is opened")
    {
        timeLeft = [] { return Milliseconds(0); };
        isUnexecuted = true;
    }
    SECTION("the time is over when the connection is open")
    {
        timeLeft = [&asked] { return ++asked == 1 ? Milliseconds(50) : Milliseconds(-1); };
        isUnexecuted = true;
    }
    SECTION("the platform accepts the connection and stays silent") { }
    const auto response = exchangeWithPlatform("127.0.0.1", port, timeLeft, { "POST", "/", "body", {} }, received);
    REQUIRE_FALSE(response.ok());
    CHECK(resultCodeOf(response.status()) == ResultCode::PlatformUnavailable);
    CHECK(isUnexecutedCall(response.status()) == isUnexecuted);
}

TEST_CASE("a call whose answer is cut short may have been executed", "[platform_http]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string answer = GENERATE(as<std::string> {}, "", "HTTP/1.1 429", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 5\r\n\r\nto");
    CAPTURE(answer);
    std::thread platform([&] {
        Poco::Net::StreamSocket connection = listener.acceptConnection();
        std::array<char, 4096> buf {};
        connection.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        if (!answer.empty())
            connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    });
    ReceivedBytes received { 0 };
    const auto response = exchangeWithPlatform(
        "127.0.0.1", listener.address().port(), [] { return Milliseconds(2000); }, { "POST", "/", "body", {} }, received);
    platform.join();
    REQUIRE_FALSE(response.ok());
    CHECK_FALSE(isUnexecutedCall(response.status()));
}
