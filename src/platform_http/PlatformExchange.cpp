#include "platform_http/PlatformExchange.h"

#include "base/ResultCode.h"
#include "platform_ports/UnexecutedCall.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>
#include <istream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <ostream>

namespace parsleypaddle {

namespace {

    constexpr size_t greatestBody = 16'777'216;
    constexpr size_t chunkSize = 4096;

    constexpr Milliseconds longestConnect { 1000 };
    // A long answer may be waited for in silence, so a path that was cut meanwhile is found by probes.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 1;

    void setKeepAlive(Poco::Net::StreamSocket& socket)
    {
        socket.setNoDelay(true);
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    }

    // A process that is paused does not reset its connections, and the kernel goes on sending for it.
    void dropUndeliveredAfter(Poco::Net::StreamSocket& socket, Milliseconds time)
    {
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(time.count()) + 1);
    }

    absl::Status unavailable(const std::string& why)
    {
        return makeError(ResultCode::PlatformUnavailable, "the platform did not answer: " + why);
    }

    absl::Status unsent(const std::string& why)
    {
        return makeUnexecutedCallError("the platform was not called: " + why);
    }

    Poco::Timespan timespanOf(Milliseconds duration)
    {
        constexpr double microsecondsPerMillisecond = 1000;
        return { static_cast<Poco::Timespan::TimeDiff>(duration.count() * microsecondsPerMillisecond) };
    }

    bool readBody(std::istream& in, std::string& body, ReceivedBytes& received)
    {
        std::array<char, chunkSize> chunk {};
        while (in.good()) {
            in.read(chunk.data(), chunk.size());
            body.append(chunk.data(), static_cast<size_t>(in.gcount()));
            received = body.size();
            if (body.size() > greatestBody)
                return false;
        }
        return true;
    }

    void sendRequest(Poco::Net::HTTPClientSession& session, const Poco::Net::SocketAddress& address, const PlatformRequest& request)
    {
        Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        message.setHost(address.toString());
        message.setKeepAlive(false);
        for (const auto& [name, value] : request.headers)
            message.set(name, value);
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        session.sendRequest(message) << request.body;
    }

}

// The kernel goes on sending what a closed connection has not delivered, unless the connection is reset. A process that ends resets it too.
absl::StatusOr<PlatformResponse> exchangeWithPlatform(const std::string& host, uint16_t port, const TimeLeft& timeLeft, const PlatformRequest& request, ReceivedBytes& received)
{
    // A request that was written in part counts as sent.
    bool isSent = false;
    try {
        const Milliseconds connectTimeout = std::min(timeLeft(), longestConnect);
        if (connectTimeout <= Milliseconds(0))
            return unsent("the call was withdrawn before it was sent");
        const Poco::Net::SocketAddress address(host, port);
        Poco::Net::StreamSocket socket;
        socket.connect(address, timespanOf(connectTimeout));
        socket.setLinger(true, 0);
        setKeepAlive(socket);
        const Milliseconds timeout = timeLeft();
        if (timeout <= Milliseconds(0))
            return unsent("the call was withdrawn before it was sent");
        dropUndeliveredAfter(socket, timeout);
        // A session over a connected socket does not pass its own timeouts on to it.
        socket.setReceiveTimeout(timespanOf(timeout));
        socket.setSendTimeout(timespanOf(timeout));
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(timespanOf(timeout));
        isSent = true;
        sendRequest(session, address, request);
        Poco::Net::HTTPResponse message;
        std::istream& in = session.receiveResponse(message);
        PlatformResponse response;
        response.status = message.getStatus();
        response.etag = message.get("ETag", "");
        response.headers = message;
        if (!readBody(in, response.body, received))
            return unavailable("its answer is too large");
        if (message.hasContentLength() && static_cast<size_t>(message.getContentLength64()) != response.body.size())
            return unavailable("its answer was cut short");
        socket.setLinger(false, 0);
        return response;
    } catch (const Poco::Exception& ec) {
        return isSent ? unavailable(ec.displayText()) : unsent(ec.displayText());
    } catch (const std::exception& ec) {
        return isSent ? unavailable(ec.what()) : unsent(ec.what());
    }
}

}
