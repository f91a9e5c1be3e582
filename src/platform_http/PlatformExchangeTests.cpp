#include "platform_http/PlatformExchange.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

// Pattern: the platform accepts connections and answers nothing.
TEST_CASE("a platform that accepts and stays silent is given up after the timeout", "[platform_http]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    ReceivedBytes received { 0 };
    const auto response = exchangeWithPlatform("127.0.0.1", silent.address().port(), Milliseconds(50), { "GET", "/", "", {} }, received);
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
    CHECK_FALSE(exchangeWithPlatform("127.0.0.1", port, Milliseconds(50), { "GET", "/", "", {} }, received).ok());
}
