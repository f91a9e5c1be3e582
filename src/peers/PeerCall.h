#pragma once

#include "homes/HomeCall.h"
#include "net/PollLoop.h"

#include <curl/curl.h>
#include <functional>
#include <memory>
#include <string>

namespace parsleypaddle {

struct PeerClientSettings;

/// One call to a peer on its curl handle. Handles are used again for later calls.
class PeerCall {
public:
    /// nullptr when curl has no memory.
    static std::unique_ptr<PeerCall> create(const PeerClientSettings&);
    ~PeerCall();

    PeerCall(const PeerCall&) = delete;
    PeerCall& operator=(const PeerCall&) = delete;

    struct Target {
        InstanceId peer;
        std::string url;
        /// Connections idle for longer are not used again, in seconds.
        long oldestConnection { 0 };
    };

    /// The call as it goes out. The home gets a little less time than the asker has.
    static std::string encode(const HomeCall&, Instant now);

    void prepare(const Target&, const HomeCall&, std::string body, HomePort::Done);

    /// Makes the reply to a transfer that ended with `result`. Runs on any thread, and takes what was received with it.
    std::function<HomeReply()> takeReply(CURLcode result, Instant now);

    size_t receivedBytes() const { return m_received.size(); }

    /// What to tell the asker when the deadline comes first.
    HomeReply replyOfDeadline() const;

    /// Forgets the call, so that the handle can be used again. Returns whom to answer.
    HomePort::Done finish();

    CURL* handle() const { return m_handle; }
    const InstanceId& peer() const { return m_peer; }

    /// Ends the call at its deadline.
    TimerId timer { TimerId::None };

private:
    explicit PeerCall(CURL*);

    static int onSending(void* call, char* remoteAddress, char* localAddress, int remotePort, int localPort);
    static size_t onReceived(char* data, size_t size, size_t count, void* call);
    static int onSocket(void* unconfirmedMilliseconds, curl_socket_t, curlsocktype);
    void setOptions(const PeerClientSettings&);

    CURL* m_handle;
    curl_slist* m_headers { nullptr };
    unsigned m_unconfirmedMilliseconds { 0 };
    InstanceId m_peer;
    RequestId m_request;
    std::string m_body;
    std::string m_received;
    HomePort::Done m_done;
    bool m_mayRepeat { false };
    /// The request began to go out on a connection.
    bool m_isSending { false };
};

}
