#pragma once

#include "homes/HomeCall.h"
#include "net/PollLoop.h"

#include <curl/curl.h>
#include <functional>
#include <memory>
#include <string>

namespace parsleypaddle {

struct PeerClientSettings;

/// One call to a peer and the curl handle that transfers it. The object is reused for later calls.
class PeerCall {
public:
    /// Returns nullptr when curl cannot allocate a handle.
    static std::unique_ptr<PeerCall> create(const PeerClientSettings&);
    ~PeerCall();

    PeerCall(const PeerCall&) = delete;
    PeerCall& operator=(const PeerCall&) = delete;

    /// The peer to call, and how its connections may be reused.
    struct Destination {
        InstanceId peer;
        std::string url;
        /// A connection that has been idle for longer is not reused for this call.
        long maxIdleSeconds { 0 };
    };

    /// Encodes the call for sending. The encoded deadline is up to 10 ms earlier than the call's, so that the reply can arrive in time.
    static std::string encode(const HomeCall&, Instant now);

    /// Sets up the handle for a transfer. The callback is kept until resetForReuse().
    void prepare(const Destination&, const HomeCall&, std::string body, HomeClient::Done);

    /// Returns a function that makes the reply to a transfer that ended with `result`. The body of a complete
    /// response is moved into the function, which may run on any thread.
    std::function<HomeReply()> makeReplyDecoder(CURLcode result, Instant now);

    size_t receivedBytes() const { return m_received.size(); }

    /// The reply to a call whose deadline passed before the transfer ended.
    HomeReply makeDeadlineReply() const;

    /// Releases the buffers so that the handle can be used for another call. Returns the callback of the finished call.
    HomeClient::Done resetForReuse();

    CURL* handle() const { return m_handle; }
    const InstanceId& peer() const { return m_peer; }

    /// The loop's timer that fires at the call's deadline.
    TimerId timer { TimerId::None };

private:
    explicit PeerCall(CURL*);

    static int onBeforeRequest(void* call, char* remoteAddress, char* localAddress, int remotePort, int localPort);
    static size_t onBodyReceived(char* data, size_t size, size_t count, void* call);
    static int onSocketCreated(void* tcpUserTimeoutMilliseconds, curl_socket_t, curlsocktype);
    void setOptions(const PeerClientSettings&);

    CURL* m_handle;
    curl_slist* m_headers { nullptr };
    unsigned m_tcpUserTimeoutMilliseconds { 0 };
    InstanceId m_peer;
    RequestId m_request;
    std::string m_body;
    std::string m_received;
    HomeClient::Done m_done;
    /// Whether the request may be sent a second time after a connection broke.
    bool m_mayResend { false };
    /// A connection is established and the request may have been sent on it.
    bool m_hasStartedSending { false };
};

}
