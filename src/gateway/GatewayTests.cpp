#include "gateway/Gateway.h"

#include "gateway/GatewayFixture.h"
#include "peers/HomeCallJson.h"
#include "statements/StatementJson.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

struct InvalidInput {
    std::string name;
    std::string method;
    std::string path;
    std::string body;
    std::vector<std::string> headers;
    ResultCode code;
    long status;
    std::string message;
};

constexpr size_t smallBodyLimit = 4096;

}

TEST_CASE("a statement is answered whether its handler answers immediately or later", "[gateway]")
{
    const bool isLate = GENERATE(false, true);
    std::unique_ptr<GatewayFixture> fixture;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        if (!isLate)
            return;
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& answer) {
            fixture->loop->after(Milliseconds(5), [request, answer] { answer(echoOf(request)); });
        };
    });
    HttpResult result;
    fixture->run({ [&] { result = sendRequest(fixture->gateway->port(), "POST", "/v1/statements", statementBody("a")); } });
    CHECK(result.status == 200);
    const auto answer = decodeStatementAnswer(result.body);
    REQUIRE(answer.ok());
    CHECK(answer->id == RequestId("1700000000000-a"));
    CHECK(answer->rows.values == std::vector<std::vector<SqlValue>> { { "p" } });
    CHECK(fixture->gateway->counts().statements == 1);
}

TEST_CASE("each connection receives the answer to its own request when answers complete out of order", "[gateway]")
{
    constexpr int connectionCount = 24;
    constexpr int requestsEach = 25;
    const auto seed = Catch::rngSeed();
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::unique_ptr<GatewayFixture> fixture;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& answer) {
            const double delay = std::uniform_real_distribution<>(0, 4)(random);
            fixture->loop->after(Milliseconds(delay), [request, answer] { answer(echoOf(request)); });
        };
    });
    std::atomic<int> correctAnswers { 0 };
    std::vector<std::function<void()>> clients;
    clients.reserve(connectionCount);
    for (int client = 0; client < connectionCount; ++client) {
        clients.emplace_back([&, client] {
            for (int n = 0; n < requestsEach; ++n) {
                const std::string id = std::to_string(client) + "_" + std::to_string(n);
                const auto result = sendRequest(fixture->gateway->port(), "POST", "/v1/statements", statementBody(id, "text of " + id));
                const auto answer = decodeStatementAnswer(result.body);
                if (answer.ok() && answer->id.value() == "1700000000000-" + id && answer->rows.values[0][0] == "text of " + id)
                    ++correctAnswers;
            }
        });
    }
    fixture->run(clients);
    CHECK(correctAnswers == connectionCount * requestsEach);
    CHECK(fixture->gateway->requestsInFlight() == 0);
}

TEST_CASE("request and answer bodies of several megabytes are transferred completely", "[gateway]")
{
    constexpr size_t megabytes = size_t { 5 } * 1024 * 1024;
    std::string large(megabytes, '.');
    for (size_t n = 0; n < large.size(); ++n)
        large[n] = static_cast<char>('a' + (n * n) % 26);
    GatewayFixture fixture;
    HttpResult result;
    fixture.run({ [&] { result = sendRequest(fixture.gateway->port(), "POST", "/v1/statements", statementBody("a", large)); } });
    const auto answer = decodeStatementAnswer(result.body);
    REQUIRE(answer.ok());
    CHECK(answer->rows.values[0][0] == large);
}

TEST_CASE("a large invalid body is rejected, and the gateway can be destroyed before a large answer is sent", "[gateway]")
{
    const std::string large(size_t { 2 } * 1024 * 1024, 'x');
    GatewayFixture fixture;
    HttpResult result;
    SECTION("invalid body")
    {
        fixture.run({ [&] { result = sendRequest(fixture.gateway->port(), "POST", "/v1/statements", R"({"version":1,"shop":7,"statement":")" + large + "\"}"); } });
        const auto answer = decodeStatementAnswer(result.body);
        REQUIRE(answer.ok());
        CHECK(answer->code == ResultCode::WrongType);
        CHECK(fixture.gateway->requestsInFlight() == 0);
    }
    SECTION("gateway destroyed")
    {
        const uint16_t port = fixture.gateway->port();
        const std::function<void()> destroyAfterForwarding = [&] {
            if (fixture.gateway->requestsInFlight() == 0 || fixture.gateway->counts().statements == 0)
                fixture.loop->after(Milliseconds(0), destroyAfterForwarding);
            else
                fixture.gateway.reset();
        };
        destroyAfterForwarding();
        fixture.run({ [&] { result = sendRequest(port, "POST", "/v1/statements", statementBody("a", large)); } });
        CHECK(result.status == 0);
    }
}

TEST_CASE("invalid input is rejected with its result code and the next request is served", "[gateway]")
{
    const std::string path = "/v1/statements";
    const auto input = GENERATE_COPY(values<InvalidInput>({
        { "no JSON", "POST", path, "x", {}, ResultCode::MalformedInput, 400, "body: not JSON" },
        { "empty", "POST", path, "", {}, ResultCode::MalformedInput, 400, "body: not JSON" },
        { "missing fields", "POST", path, "{}", {}, ResultCode::MissingField, 400, "version: absent" },
        { "too large", "POST", path, std::string(smallBodyLimit + 1, ' '), {}, ResultCode::TooLarge, 413, "larger than 4096 bytes" },
        { "far too large", "POST", path, std::string(8 * smallBodyLimit * 1024, ' '), {}, ResultCode::TooLarge, 413, "larger than" },
        { "too large in chunks", "POST", path, std::string(2 * smallBodyLimit, ' '), { "Transfer-Encoding: chunked" }, ResultCode::TooLarge, 413, "larger than" },
        { "too large with expectation", "POST", path, std::string(2 * smallBodyLimit, ' '), { "Expect: 100-continue" }, ResultCode::TooLarge, 413, "larger than" },
        { "no such path", "POST", "/v2/statements", "{}", {}, ResultCode::UnknownResource, 404, "no POST at this path" },
        { "no such method", "PUT", path, "{}", {}, ResultCode::UnknownResource, 404, "no PUT at this path" },
        { "no such page", "GET", "/nothing", "", {}, ResultCode::UnknownResource, 404, "no page" },
        { "no key", "POST", "/v1/home", "{}", {}, ResultCode::KeyRefused, 401, "X-Parsleypaddle-Key: absent" },
        { "wrong key", "POST", "/v1/home", "{}", { "X-Parsleypaddle-Key: old-kez" }, ResultCode::KeyRefused, 401, "not an accepted key" },
        { "damaged home call", "POST", "/v1/home", "{}", { "X-Parsleypaddle-Key: old-key" }, ResultCode::MalformedInput, 400, "message between daemons" },
    }));
    CAPTURE(input.name);
    GatewayFixture fixture([](GatewaySettings& settings, GatewayHandlers&) { settings.maximumBodyBytes = smallBodyLimit; });
    HttpResult rejected;
    HttpResult next;
    fixture.run({ [&] {
        const uint16_t port = fixture.gateway->port();
        rejected = sendRequest(port, input.method, input.path, input.body, input.headers);
        next = sendRequest(port, "POST", path, statementBody("next"));
    } });
    CHECK(rejected.status == input.status);
    const auto answer = decodeStatementAnswer(rejected.body);
    REQUIRE(answer.ok());
    CHECK(answer->code == input.code);
    CHECK_THAT(answer->message, Catch::Contains(input.message));
    CHECK(next.status == 200);
    CHECK(fixture.gateway->counts().rejected == 1);
    CHECK(fixture.gateway->counts().rejectedKeys == (input.code == ResultCode::KeyRefused ? 1 : 0));
}

TEST_CASE("after malformed HTTP on one connection a request on another is answered", "[gateway]")
{
    const auto bytes = GENERATE(as<std::string>(), "\r\n\r\n\r\n", "GET\r\n\r\n", std::string(20'000, 'A'), "POST /v1/statements HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        "POST /v1/statements HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "\x16\x03\x01\x02\x00\x01", std::string(64, '\0') + "\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(50'000, 'b') + "\r\n\r\n");
    CAPTURE(bytes.substr(0, 60));
    GatewayFixture fixture([](GatewaySettings& settings, GatewayHandlers&) {
        settings.idleTimeout = Milliseconds(1000);
        settings.requestTimeout = Milliseconds(50);
    });
    HttpResult next;
    fixture.run({ [&] {
        sendRaw(fixture.gateway->port(), bytes);
        next = sendRequest(fixture.gateway->port(), "POST", "/v1/statements", statementBody("next"));
    } });
    CHECK(next.status == 200);
    CHECK(fixture.gateway->requestsInFlight() == 0);
}

TEST_CASE("a request that is not received completely within the request timeout is rejected", "[gateway]")
{
    const auto bytes = GENERATE(as<std::string>(), "POST /v1/statements HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", "POST /v1/statements HTTP/1.1\r\nHost: x\r\nConte");
    GatewayFixture fixture([](GatewaySettings& settings, GatewayHandlers&) { settings.requestTimeout = Milliseconds(30); });
    std::string received;
    fixture.run({ [&] { received = sendRaw(fixture.gateway->port(), bytes); } });
    CHECK_THAT(received, Catch::StartsWith("HTTP/1.1 408") && Catch::Contains("\"code\":2008") && Catch::Contains("within 30 ms"));
    CHECK(fixture.gateway->counts().timeouts == 1);
}

TEST_CASE("a peer's call is forwarded with either of two accepted keys", "[gateway]")
{
    const auto key = GENERATE(as<std::string>(), "old-key", "new-key");
    GatewayFixture fixture;
    HomeCall call;
    call.request.id = RequestId("1700000000000-a");
    HttpResult result;
    fixture.run({ [&] { result = sendRequest(fixture.gateway->port(), "POST", "/v1/home", encodeHomeCall(call, Instant()), { "X-Parsleypaddle-Key: " + key }); } });
    const auto reply = decodeHomeReply(result.body, Instant());
    REQUIRE(reply.ok());
    CHECK(reply->answer.id == call.request.id);
    CHECK(fixture.gateway->counts().homeCalls == 1);
}

TEST_CASE("a page is served with its status and content type", "[gateway]")
{
    GatewayFixture fixture([](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onPage = [](const std::string& path) -> std::optional<Page> {
            if (path != "/health")
                return std::nullopt;
            return Page { 503, "text/x-test", "leaving\n" };
        };
    });
    HttpResult result;
    fixture.run({ [&] { result = sendRequest(fixture.gateway->port(), "GET", "/health?verbose=1"); } });
    CHECK(result.status == 503);
    CHECK(result.body == "leaving\n");
    CHECK_THAT(result.headers, Catch::Contains("text/x-test"));
}

TEST_CASE("a caller that disconnects before its answer is reported, and the late answer is discarded", "[gateway]")
{
    std::vector<RequestId> disconnected;
    GatewayFixture::Answer late;
    StatementRequest held;
    std::unique_ptr<GatewayFixture> fixture;
    std::unique_ptr<Poco::Net::StreamSocket> socket;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& answer) {
            held = request;
            late = answer;
            socket->close();
        };
        handlers.onDisconnected = [&](const RequestId& id) {
            disconnected.push_back(id);
            late(echoOf(held));
            late(echoOf(held));
            fixture->loop->after(Milliseconds(1), [&] { fixture->loop->stop(); });
        };
    });
    const std::string body = statementBody("a");
    const std::string head = "POST /v1/statements HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    socket = std::make_unique<Poco::Net::StreamSocket>(Poco::Net::SocketAddress("127.0.0.1", fixture->gateway->port()));
    const std::string bytes = head + body;
    socket->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    fixture->loop->run();
    CHECK(disconnected == std::vector<RequestId> { RequestId("1700000000000-a") });
    CHECK(fixture->gateway->requestsInFlight() == 0);
    CHECK(fixture->gateway->counts().disconnects == 1);
}

TEST_CASE("an answer given after the gateway was destroyed is discarded", "[gateway]")
{
    GatewayFixture::Answer late;
    StatementRequest held;
    std::unique_ptr<GatewayFixture> fixture;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& answer) {
            held = request;
            late = answer;
            fixture->loop->post([&] { fixture->gateway.reset(); });
        };
    });
    HttpResult result;
    fixture->run({ [&, port = fixture->gateway->port()] { result = sendRequest(port, "POST", "/v1/statements", statementBody("a")); } });
    CHECK(result.status == 0);
    late(echoOf(held));
}

TEST_CASE("a gateway that stopped accepting refuses new connections and answers the requests in flight", "[gateway]")
{
    HttpResult rejected;
    HttpResult finished;
    std::unique_ptr<GatewayFixture> fixture;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& answer) {
            fixture->gateway->stopAccepting();
            CHECK(fixture->gateway->requestsInFlight() == 1);
            rejected = sendRequest(fixture->gateway->port(), "GET", "/");
            fixture->loop->after(Milliseconds(1), [request, answer] { answer(echoOf(request)); });
        };
    });
    fixture->run({ [&] { finished = sendRequest(fixture->gateway->port(), "POST", "/v1/statements", statementBody("a")); } });
    CHECK(rejected.status == 0);
    CHECK(finished.status == 200);
    CHECK_THAT(finished.headers, Catch::Contains("Connection: close"));
    CHECK(fixture->gateway->requestsInFlight() == 0);
}

// Guards against requests that are cut off by a planned stop: they were sent on connections that waited to be accepted, which the kernel resets.
TEST_CASE("a request that waits to be accepted when the gateway stops accepting is answered", "[gateway]")
{
    std::string answer;
    Poco::Net::StreamSocket waiting;
    std::unique_ptr<GatewayFixture> fixture;
    fixture = std::make_unique<GatewayFixture>([&](GatewaySettings&, GatewayHandlers& handlers) {
        handlers.onStatement = [&](const StatementRequest& request, const GatewayFixture::Answer& done) {
            const std::string text = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            waiting.connect(Poco::Net::SocketAddress("127.0.0.1", fixture->gateway->port()));
            waiting.sendBytes(text.data(), static_cast<int>(text.size()));
            fixture->gateway->stopAccepting();
            done(echoOf(request));
        };
    });
    fixture->run({ [&] {
        sendRequest(fixture->gateway->port(), "POST", "/v1/statements", statementBody("a"));
        std::array<char, 64> buf {};
        try {
            answer.assign(buf.data(), static_cast<size_t>(waiting.receiveBytes(buf.data(), static_cast<int>(buf.size()))));
        } catch (const Poco::Exception& ec) {
            answer = ec.displayText();
        }
    } });
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 "));
}

TEST_CASE("a gateway is created only for an IP address and a free port", "[gateway]")
{
    GatewayFixture fixture;
    GatewaySettings settings;
    settings.host = "localhost.example";
    CHECK(resultCodeOf(Gateway::create(*fixture.loop, settings, {}).status()) == ResultCode::ValueOutOfRange);
    settings.host = "127.0.0.1";
    settings.port = fixture.gateway->port();
    CHECK(resultCodeOf(Gateway::create(*fixture.loop, settings, {}).status()) == ResultCode::ValueOutOfRange);
}
