#include "standin_program/PlatformServer.h"

#include "base/ResultCode.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Thread.h>
#include <Poco/ThreadPool.h>

namespace parsleypaddle {

namespace {

    constexpr int leastThreads = 2;
    constexpr int mostThreads = 64;

    class PlatformHandler final : public Poco::Net::HTTPRequestHandler {
    public:
        explicit PlatformHandler(PlatformState& state)
            : m_state(state)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            PlatformStandinRequest asked { request.getMethod(), request.getURI(), "", request.get("If-Match", ""), request.get("If-None-Match", "") };
            Poco::StreamCopier::copyToString(request.stream(), asked.body);
            const PlatformStandinAnswer answer = m_state.answer(asked);
            // The fault "slow" holds this thread up; nothing else waits for it.
            if (answer.delay > Milliseconds(0))
                Poco::Thread::sleep(static_cast<long>(answer.delay.count()));
            response.setKeepAlive(false);
            // A handler that sends nothing has its connection closed.
            if (answer.isSilent)
                return;
            response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
            if (!answer.etag.empty())
                response.set("ETag", answer.etag);
            response.sendBuffer(answer.body.data(), answer.body.size());
        }

    private:
        PlatformState& m_state;
    };

    class PlatformHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit PlatformHandlerFactory(PlatformState& state)
            : m_state(state)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override { return new PlatformHandler(m_state); }

    private:
        PlatformState& m_state;
    };

}

class PlatformServer::Internals {
public:
    explicit Internals(uint16_t port)
        : threads(leastThreads, mostThreads)
        , server(new PlatformHandlerFactory(state), threads, Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", port)), serverParameters())
    {
        server.start();
    }

    static Poco::Net::HTTPServerParams::Ptr serverParameters()
    {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(mostThreads);
        return parameters;
    }

    PlatformState state;
    Poco::ThreadPool threads;
    Poco::Net::HTTPServer server;
};

absl::StatusOr<std::unique_ptr<PlatformServer>> PlatformServer::create(uint16_t port)
{
    try {
        return std::unique_ptr<PlatformServer>(new PlatformServer(std::make_unique<Internals>(port)));
    } catch (const Poco::Exception& ec) {
        return makeError(ResultCode::TargetUnreachable, ec.displayText());
    }
}

PlatformServer::PlatformServer(std::unique_ptr<Internals> internals)
    : m_internals(std::move(internals))
{
}

PlatformServer::~PlatformServer()
{
    m_internals->server.stopAll(true);
}

uint16_t PlatformServer::port() const
{
    return m_internals->server.port();
}

PlatformState& PlatformServer::state()
{
    return m_internals->state;
}

}
