#pragma once

#include "homes/HomeCall.h"
#include "net/PollLoop.h"
#include "statements/StatementAnswer.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Where and within which bounds a gateway listens.
struct GatewaySettings {
    /// IP number.
    std::string host { "127.0.0.1" };
    /// 0 picks a free one.
    uint16_t port { 0 };
    /// Bytes of one request's body.
    size_t maximumBody { size_t { 16 } * 1024 * 1024 };
    /// Bytes of all bodies that are being received together.
    size_t bodyMemoryLimit { size_t { 256 } * 1024 * 1024 };
    unsigned connectionLimit { 10'000 };
    /// From a request's first line to its last byte.
    Milliseconds requestTimeout { 10'000 };
    /// A connection that is silent for so long between requests is closed.
    Milliseconds idleTimeout { 600'000 };
    /// Threads that decode and encode large bodies.
    unsigned workerThreads { 2 };
    /// The keys that peers may show; several while they are being replaced.
    std::vector<std::string> peerKeys;
};

/// A page for operators, such as health and metrics.
struct Page {
    unsigned status { 200 };
    std::string contentType { "text/plain; charset=utf-8" };
    std::string body;
};

/// What the gateway hands on. Answers may come at once or later, on the loop's thread, in any order.
struct GatewayHandlers {
    std::function<void(StatementRequest, std::function<void(StatementAnswer)>)> onStatement;
    std::function<void(HomeCall, std::function<void(HomeReply)>)> onHomeCall;
    std::function<std::optional<Page>(const std::string& path)> page;
    /// The caller closed its connection before its answer; the answer, when it comes, is dropped. May be empty.
    std::function<void(const RequestId&)> onDeparted;
};

/// Requests counted since the start.
struct GatewayCounts {
    uint64_t statements { 0 };
    uint64_t homeCalls { 0 };
    /// Refused before they reached a handler, for whatever fault of the input.
    uint64_t refused { 0 };
    uint64_t keysRefused { 0 };
    uint64_t tooSlow { 0 };
    uint64_t departed { 0 };
};

/// Serves callers and peer daemons over HTTP/1.1 with JSON, on the loop's thread.
class Gateway {
public:
    /// Errors: ValueOutOfRange for an address that is no IP number or is taken.
    static absl::StatusOr<std::unique_ptr<Gateway>> create(PollLoop&, GatewaySettings, GatewayHandlers);

    /// Closes every connection. Answers that come later are dropped.
    ~Gateway();

    uint16_t port() const;

    /// Closes the listener. Requests on open connections are served, and their connections closed after the answer.
    void stopAccepting();

    /// Requests that began to arrive and whose answers have not been sent whole.
    size_t requestsInFlight() const;

    size_t connections() const;
    const GatewayCounts& counts() const;

private:
    Gateway();

    class Server;
    std::unique_ptr<Server> m_server;
};

}
