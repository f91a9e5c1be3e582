#include "platform_http/PlatformExchange.h"

#include "base/ResultCode.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>
#include <array>
#include <istream>
#include <ostream>

namespace parsleypaddle {

namespace {

    constexpr size_t greatestBody = 16'777'216;
    constexpr size_t chunkSize = 65'536;

    absl::Status unavailable(const std::string& why)
    {
        return makeError(ResultCode::PlatformUnavailable, "the platform did not answer: " + why);
    }

    Poco::Timespan timespanOf(Milliseconds duration)
    {
        constexpr double microsecondsPerMillisecond = 1000;
        return { static_cast<Poco::Timespan::TimeDiff>(duration.count() * microsecondsPerMillisecond) };
    }

    bool readBody(std::istream& in, std::string& body)
    {
        std::array<char, chunkSize> chunk {};
        while (in.good()) {
            in.read(chunk.data(), chunk.size());
            body.append(chunk.data(), static_cast<size_t>(in.gcount()));
            if (body.size() > greatestBody)
                return false;
        }
        return true;
    }

    void sendRequest(Poco::Net::HTTPClientSession& session, const PlatformRequest& request)
    {
        Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        message.setKeepAlive(false);
        if (!request.conditionName.empty())
            message.set(request.conditionName, request.conditionValue);
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        session.sendRequest(message) << request.body;
    }

}

absl::StatusOr<PlatformResponse> exchangeWithPlatform(const std::string& host, uint16_t port, Milliseconds timeout, const PlatformRequest& request)
{
    try {
        Poco::Net::HTTPClientSession session(host, port);
        session.setTimeout(timespanOf(timeout));
        sendRequest(session, request);
        Poco::Net::HTTPResponse message;
        std::istream& in = session.receiveResponse(message);
        PlatformResponse response;
        response.status = message.getStatus();
        response.etag = message.get("ETag", "");
        if (!readBody(in, response.body))
            return unavailable("its answer is too large");
        if (message.hasContentLength() && static_cast<size_t>(message.getContentLength64()) != response.body.size())
            return unavailable("its answer was cut short");
        return response;
    } catch (const Poco::Exception& ec) {
        return unavailable(ec.displayText());
    } catch (const std::exception& ec) {
        return unavailable(ec.what());
    }
}

}
