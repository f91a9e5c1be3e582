#include "standin_program/ControlServer.h"

#include "base/ResultCode.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <chrono>
#include <future>
#include <json/reader.h>
#include <json/writer.h>

namespace parsleypaddle {

namespace {

    using Poco::Net::HTTPResponse;

    constexpr std::chrono::seconds loopTimeout { 10 };

    struct Answer {
        HTTPResponse::HTTPStatus status { HTTPResponse::HTTP_OK };
        Json::Value body;
    };

    Answer refusal(HTTPResponse::HTTPStatus status, const std::string& message)
    {
        Answer answer { status, Json::objectValue };
        answer.body["error"] = message;
        return answer;
    }

    /// What the handlers share: calls are carried over to the loop's thread.
    struct Calls {
        PollLoop& loop;
        ControlServer::SwitchFault switchFault;
        ControlServer::State state;
    };

    Answer runOnLoop(PollLoop& loop, std::function<Answer()> call)
    {
        auto result = std::make_shared<std::promise<Answer>>();
        auto future = result->get_future();
        loop.post([result, call = std::move(call)] { result->set_value(call()); });
        if (future.wait_for(loopTimeout) != std::future_status::ready)
            return refusal(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the loop did not answer");
        return future.get();
    }

    Answer switchFault(const Calls& calls, Poco::Net::HTTPServerRequest& request)
    {
        Json::Value fields;
        std::string errors;
        if (!Json::parseFromStream(Json::CharReaderBuilder(), request.stream(), &fields, &errors))
            return refusal(HTTPResponse::HTTP_BAD_REQUEST, errors);
        return runOnLoop(calls.loop, [&calls, fields] {
            const absl::Status status = calls.switchFault(fields);
            if (!status.ok())
                return refusal(HTTPResponse::HTTP_BAD_REQUEST, std::string(status.message()));
            return Answer { HTTPResponse::HTTP_OK, Json::objectValue };
        });
    }

    Answer answerTo(const Calls& calls, Poco::Net::HTTPServerRequest& request)
    {
        if (request.getMethod() == "GET" && request.getURI() == "/state")
            return runOnLoop(calls.loop, [&calls] { return Answer { HTTPResponse::HTTP_OK, calls.state() }; });
        if (request.getMethod() == "POST" && request.getURI() == "/fault")
            return switchFault(calls, request);
        return refusal(HTTPResponse::HTTP_NOT_FOUND, "GET /state or POST /fault");
    }

    class Handler final : public Poco::Net::HTTPRequestHandler {
    public:
        explicit Handler(const Calls& calls)
            : m_calls(calls)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            const Answer answer = answerTo(m_calls, request);
            response.setStatusAndReason(answer.status);
            response.setContentType("application/json");
            const std::string body = Json::writeString(Json::StreamWriterBuilder(), answer.body) + "\n";
            response.sendBuffer(body.data(), body.size());
        }

    private:
        const Calls& m_calls;
    };

    class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit Factory(const Calls& calls)
            : m_calls(calls)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override { return new Handler(m_calls); }

    private:
        const Calls& m_calls;
    };

}

class ControlServer::Internals {
public:
    Internals(Calls loopCalls, uint16_t port)
        : calls(std::move(loopCalls))
        , server(new Factory(calls), Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", port)), new Poco::Net::HTTPServerParams)
    {
        server.start();
    }

    Calls calls;
    Poco::Net::HTTPServer server;
};

absl::StatusOr<std::unique_ptr<ControlServer>> ControlServer::create(PollLoop& loop, uint16_t port, SwitchFault switchFault, State state)
{
    try {
        auto internals = std::make_unique<Internals>(Calls { loop, std::move(switchFault), std::move(state) }, port);
        return std::unique_ptr<ControlServer>(new ControlServer(std::move(internals)));
    } catch (const Poco::Exception& ec) {
        return makeError(ResultCode::TargetUnreachable, ec.displayText());
    }
}

ControlServer::ControlServer(std::unique_ptr<Internals> internals)
    : m_internals(std::move(internals))
{
}

ControlServer::~ControlServer()
{
    m_internals->server.stopAll(true);
}

uint16_t ControlServer::port() const
{
    return m_internals->server.port();
}

}
