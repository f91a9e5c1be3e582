#include "control/ControlClient.h"
#include "control/ControlServer.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr double patience = 5000;

std::unique_ptr<ControlServer> startControl()
{
    std::map<std::string, ControlHandler> handlers;
    handlers["echo"] = [](const std::string& parameters) { return ControlResult::success(parameters); };
    handlers["conflict"] = [](const std::string&) { return ControlResult::failure(2802, "version 7 came first"); };
    handlers["broken"] = [](const std::string&) { return ControlResult::success("no JSON"); };
    std::string error;
    auto server = ControlServer::create("127.0.0.1", 0, { "first", "second" }, handlers, error);
    INFO(error);
    REQUIRE(server);
    return server;
}

}

TEST_CASE("a control method is called by name with its parameters", "[control]")
{
    const auto server = startControl();
    const ControlAddress address { "127.0.0.1", server->port() };
    const auto key = GENERATE(as<std::string>(), "first", "second");
    const auto parameters = GENERATE(as<std::string>(), "{}", "{\"text\":\"caf\u00e9\",\"version\":12345678901}", "{\"large\":\"" + std::string(200'000, 'x') + "\"}");
    const auto result = ControlClient::call(address, key, "echo", parameters, patience);
    INFO(result.error);
    CHECK(result.isOk);
    CHECK(result.body == parameters);
}

TEST_CASE("a failing control call tells its code and reason", "[control]")
{
    const auto server = startControl();
    const ControlAddress address { "127.0.0.1", server->port() };
    const auto call = [&](const std::string& key, const std::string& method, const std::string& parameters) {
        const auto result = ControlClient::call(address, key, method, parameters, patience);
        CHECK_FALSE(result.isOk);
        CHECK_FALSE(result.error.empty());
        CHECK(result.body.empty());
        return result.code;
    };
    CHECK(call("first", "conflict", "{}") == 2802);
    CHECK(call("first", "unknown", "{}") == 2009);
    CHECK(call("first", "broken", "{}") == 2001);
    CHECK(call("first", "echo", "[") == 2001);
    CHECK(call("first", "echo", "[1]") == 2001);
    CHECK(server->refusedKeys() == 0);
    CHECK(call("third", "echo", "{}") == 2701);
    CHECK(call("", "echo", "{}") == 2701);
    CHECK(server->refusedKeys() == 2);
}

TEST_CASE("a control call that was not delivered is told apart from one without an answer", "[control]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    ControlAddress address { "127.0.0.1", silent.address().port() };
    constexpr double shortPatience = 50;
    CHECK(ControlClient::call(address, "k", "echo", "{}", shortPatience).code == 3005);
    CHECK(ControlClient::call(address, "k", "echo", "{}", 0).code == 2208);
    silent.close();
    CHECK(ControlClient::call(address, "k", "echo", "{}", patience).code == 2208);
}

TEST_CASE("a control server needs a free address that is an IP number", "[control]")
{
    const auto server = startControl();
    std::string error;
    CHECK_FALSE(ControlServer::create("nowhere.example", 0, {}, {}, error));
    CHECK_THAT(error, Catch::Contains("expected an IP number"));
    CHECK_FALSE(ControlServer::create("127.0.0.1", server->port(), {}, {}, error));
    CHECK_THAT(error, Catch::Contains("cannot listen"));
}
