#pragma once

#include "gateway/Exchange.h"
#include "gateway/Gateway.h"
#include "net/WorkerPool.h"

#include <microhttpd.h>

namespace parsleypaddle {

/// The gateway's state behind libmicrohttpd's callbacks.
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

    /// Lets libmicrohttpd do what its sockets are ready for, and sees to its next call.
    void runDaemon();
    void scheduleRun(Milliseconds delay);

    void receiveHead(Exchange&, const char* url, const char* method);
    void receiveBody(Exchange&, const char* data, size_t size);
    MHD_Result dispatch(Exchange&);
    void handleStatement(Exchange&);
    void runStatement(Exchange&, absl::StatusOr<StatementRequest>);
    void handleHomeCall(Exchange&);
    void runHomeCall(Exchange&, absl::StatusOr<HomeCall>);
    void handlePage(Exchange&);

    void refuse(Exchange&, ResultCode, const std::string& message);
    void settle(Exchange&, StatementAnswer);
    void settle(Exchange&, HomeReply);
    /// The answer is whole: it is sent as soon as the connection can.
    void complete(Exchange&);
    MHD_Result sendAnswer(Exchange&);
    /// The body, which is no longer kept in the exchange.
    std::shared_ptr<const std::string> takeBody(Exchange&);
    void releaseBody(Exchange&);

    /// Ends requests that take too long to arrive, and notices callers that left.
    void sweep();
    void scheduleSweep();
    void endSlowRequest(Exchange&);
    void noticeDeparture(Exchange&);

    PollLoop& m_loop;
    GatewaySettings m_settings;
    GatewayHandlers m_handlers;
    GatewayCounts m_counts;
    std::unique_ptr<WorkerPool> m_workers;
    MHD_Daemon* m_daemon { nullptr };
    int m_pollDescriptor { -1 };
    uint16_t m_port { 0 };
    bool m_isDraining { false };
    size_t m_bufferedBytes { 0 };
    /// In order of arrival.
    Exchange::List m_receiving;
    Exchange::List m_received;
    TimerId m_runTimer { TimerId::None };
    Instant m_runDue;
    TimerId m_sweepTimer { TimerId::None };
};

}
