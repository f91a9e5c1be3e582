#pragma once

#include "gateway/Gateway.h"

#include <functional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What a test's client got; status 0 when the connection broke.
struct HttpResult {
    long status { 0 };
    std::string body;
    std::string headers;
};

/// Sends one request over a connection of its own and waits for the answer.
HttpResult sendRequest(uint16_t port, const std::string& method, const std::string& path, const std::string& body = "", const std::vector<std::string>& headers = {});

/// Sends raw bytes and reads until the server closes.
std::string sendRaw(uint16_t port, const std::string& bytes);

/// A request body with some id; `parameter` is its only parameter.
std::string statementBody(const std::string& idSuffix, const std::string& parameter = "p");

/// A gateway whose loop runs on the test's thread while clients run on others.
class GatewayFixture {
public:
    using Answer = std::function<void(StatementAnswer)>;

    /// `change` may alter the settings and handlers, which by default answer at once with the request's id and parameters.
    explicit GatewayFixture(const std::function<void(GatewaySettings&, GatewayHandlers&)>& change = {});

    /// Runs the clients, each on its thread, and the loop until all are done.
    void run(const std::vector<std::function<void()>>& clients);

    std::unique_ptr<PollLoop> loop;
    std::unique_ptr<Gateway> gateway;
};

/// The answer that echoes a request.
StatementAnswer echoOf(const StatementRequest&);

}
