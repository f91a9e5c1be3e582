#pragma once

#include "gateway/Exchange.h"
#include "gateway/Gateway.h"
#include "net/WorkerPool.h"

#include <microhttpd.h>

namespace parsleypaddle {

/// Implementation of the gateway: libmicrohttpd's callbacks and the state that they share.
class Gateway::Server {
public:
    Server(PollLoop&, GatewaySettings, GatewayHandlers);
    ~Server();

    absl::Status start();
    void stopAccepting();

    uint16_t port() const { return m_port; }
    size_t requestsInFlight() const { return m_receiving.size() + m_received.size(); }
    size_t connections() const;
    const GatewayCounts& counts() const { return m_counts; }

private:
    static void* onRequestLine(void* server, const char* uri, MHD_Connection*);
    static MHD_Result onAccess(void* server, MHD_Connection*, const char* url, const char* method, const char* version,
        const char* upload, size_t* uploadSize, void** exchange);
    static void onCompleted(void* server, MHD_Connection*, void** exchange, MHD_RequestTerminationCode);

    void acceptWaiting(int listener);

    /// Lets libmicrohttpd process its ready sockets, and schedules the next call if it has more work or a timeout.
    void runHttpDaemon();
    void scheduleRun(Milliseconds delay);

    void receiveHeader(Exchange&, const char* url, const char* method);
    void receiveBody(Exchange&, const char* data, size_t size);
    MHD_Result dispatch(Exchange&);
    void parseStatement(Exchange&);
    void forwardStatement(Exchange&, absl::StatusOr<StatementRequest>);
    void parseHomeCall(Exchange&);
    void forwardHomeCall(Exchange&, absl::StatusOr<HomeCall>);
    void servePage(Exchange&);

    void reject(Exchange&, ResultCode, const std::string& message);
    void encodeAnswer(Exchange&, StatementAnswer);
    void encodeAnswer(Exchange&, HomeReply);
    /// Marks the answer as encoded and resumes the connection if it is suspended, so that the answer is sent.
    void resumeToAnswer(Exchange&);
    MHD_Result sendAnswer(Exchange&);
    /// Moves the body out of the exchange. Its size counts towards the memory limit until releaseBody().
    std::shared_ptr<const std::string> takeBody(Exchange&);
    void releaseBody(Exchange&);

    /// Rejects requests that were not received in time, and detects callers that have disconnected.
    void sweep();
    void scheduleSweep();
    void rejectSlowRequest(Exchange&);
    void reportDisconnect(Exchange&);

    PollLoop& m_loop;
    GatewaySettings m_settings;
    GatewayHandlers m_handlers;
    GatewayCounts m_counts;
    std::unique_ptr<WorkerPool> m_workers;
    MHD_Daemon* m_httpDaemon { nullptr };
    int m_pollDescriptor { -1 };
    uint16_t m_port { 0 };
    bool m_isDraining { false };
    size_t m_bufferedBytes { 0 };
    /// Requests being received, in order of arrival.
    Exchange::List m_receiving;
    /// Requests received completely and not yet answered completely.
    Exchange::List m_received;
    TimerId m_runTimer { TimerId::None };
    Instant m_nextRunAt;
    TimerId m_sweepTimer { TimerId::None };
};

}
