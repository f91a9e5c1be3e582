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

/// Listening address and limits of a gateway.
struct GatewaySettings {
    /// IP address.
    std::string host { "127.0.0.1" };
    /// 0 selects a free port.
    uint16_t port { 0 };
    /// Greatest size of one request's body, in bytes.
    size_t maximumBodyBytes { size_t { 16 } * 1024 * 1024 };
    /// Greatest total size, in bytes, of the request bodies that are held until they are decoded.
    size_t bodyMemoryLimit { size_t { 256 } * 1024 * 1024 };
    unsigned connectionLimit { 10'000 };
    /// Time from a request's first line to its last byte; slower requests are rejected.
    Milliseconds requestTimeout { 10'000 };
    /// A connection without traffic for this long is closed. Rounded up to whole seconds.
    Milliseconds idleTimeout { 600'000 };
    /// Threads that decode and encode large bodies.
    unsigned workerThreads { 2 };
    /// Accepted keys of peer daemons; more than one while a key is being replaced.
    std::vector<std::string> peerKeys;
};

/// The response to a GET request by an operator, such as health or metrics.
struct Page {
    unsigned status { 200 };
    std::string contentType { "text/plain; charset=utf-8" };
    std::string body;
};

/// Handlers for valid requests. Statements and home calls may be answered during the call or later, in any order, on the
/// loop's thread.
struct GatewayHandlers {
    std::function<void(StatementRequest, std::function<void(StatementAnswer)>)> onStatement;
    std::function<void(HomeCall, std::function<void(HomeReply)>)> onHomeCall;
    std::function<std::optional<Page>(const std::string& path)> onPage;
    /// Called with the id of a statement whose caller has closed its connection before the answer; a later answer is
    /// discarded. May be empty.
    std::function<void(const RequestId&)> onDisconnected;
};

/// Counters since the gateway was created.
struct GatewayCounts {
    uint64_t statements { 0 };
    uint64_t homeCalls { 0 };
    /// Requests that the gateway itself rejected. Excludes malformed HTTP, which libmicrohttpd rejects.
    uint64_t rejected { 0 };
    /// Peer calls without an accepted key.
    uint64_t rejectedKeys { 0 };
    /// Requests that were not received completely within the request timeout.
    uint64_t timeouts { 0 };
    /// Requests whose connection was found closed by the caller before the answer.
    uint64_t disconnects { 0 };
};

/// HTTP/1.1 server for the JSON requests of callers and peer daemons and for operators' pages. All handlers run on the
/// loop's thread; worker threads decode and encode large bodies.
class Gateway {
public:
    /// Error: ValueOutOfRange when the host is not an IP address, or the gateway cannot listen at the address, for example
    /// because it is in use; otherwise the error of creating the worker threads.
    static absl::StatusOr<std::unique_ptr<Gateway>> create(PollLoop&, GatewaySettings, GatewayHandlers);

    /// Closes every connection. Later answers of handlers are discarded.
    ~Gateway();

    uint16_t port() const;

    /// Closes the listening socket. Requests on open connections are still served; each connection is closed after its
    /// next answer.
    void stopAccepting();

    /// Requests whose first line has been received and whose answer has not been sent completely.
    size_t requestsInFlight() const;

    size_t connections() const;
    const GatewayCounts& counts() const;

private:
    Gateway();

    class Server;
    std::unique_ptr<Server> m_server;
};

}
