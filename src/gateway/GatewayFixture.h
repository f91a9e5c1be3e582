#pragma once

#include "gateway/Gateway.h"

#include <functional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The response that a test's client received; status 0 when the request failed without a complete response.
struct HttpResult {
    long status { 0 };
    std::string body;
    std::string headers;
};

/// Sends one request over a new connection and waits for the answer.
HttpResult sendRequest(uint16_t port, const std::string& method, const std::string& path, const std::string& body = "", const std::vector<std::string>& headers = {});

/// Sends raw bytes and returns what the server sends until it closes the connection; a socket error is appended in
/// brackets.
std::string sendRaw(uint16_t port, const std::string& bytes);

/// The body of a statement request whose id ends with `idSuffix`; `parameter` is the statement's only parameter.
std::string statementBody(const std::string& idSuffix, const std::string& parameter = "p");

/// A gateway whose loop runs on the test's thread while the clients run on threads of their own.
class GatewayFixture {
public:
    using Answer = std::function<void(StatementAnswer)>;

    /// `change` may alter the settings and handlers. The default handlers answer immediately with echoOf() the request.
    explicit GatewayFixture(const std::function<void(GatewaySettings&, GatewayHandlers&)>& change = {});

    /// Runs each client on a thread of its own, and the loop until all clients have returned.
    void run(const std::vector<std::function<void()>>& clients);

    std::unique_ptr<PollLoop> loop;
    std::unique_ptr<Gateway> gateway;
};

/// An answer with the request's id, and the request's parameters as its only row.
StatementAnswer echoOf(const StatementRequest&);

}
