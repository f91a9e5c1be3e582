#include "control/ControlConnector.h"

#include "control/ControlProtocol.h"
#include "net/KeyCheck.h"

#include <Poco/Net/SocketAddress.h>
#include <cerrno>
#include <cstring>
#include <json/json.h>
#include <microhttpd.h>

namespace parsleypaddle {

namespace {

    constexpr unsigned threadCount = 2;
    constexpr unsigned connectionLimit = 256;
    constexpr unsigned idleTimeoutSeconds = 15;

    std::string errorText(int code, const std::string& message)
    {
        Json::Value object(Json::objectValue);
        object["jsonrpc"] = "2.0";
        object["id"] = Json::Value();
        object["error"]["code"] = code;
        object["error"]["message"] = message;
        return Json::writeString(Json::StreamWriterBuilder(), object);
    }

}

struct ControlConnector::Message {
    MHD_Connection* connection { nullptr };
    std::string body;
    bool isKnown { false };
    bool isTooLarge { false };
    unsigned status { MHD_HTTP_OK };
    std::string answer;
};

/// What libmicrohttpd calls.
class ControlConnector::Callbacks {
public:
    static MHD_Result onAccess(void* connector, MHD_Connection* connection, const char*, const char*, const char*,
        const char* upload, size_t* uploadSize, void** state)
    {
        auto* self = static_cast<ControlConnector*>(connector);
        auto* message = static_cast<Message*>(*state);
        if (!message) {
            message = new Message;
            *state = message;
            message->connection = connection;
            message->isKnown = self->hasAcceptedKey(connection);
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            receive(*message, upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        self->handle(*message);
        return send(*message);
    }

    static void onCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode)
    {
        delete static_cast<Message*>(*state);
        *state = nullptr;
    }

private:
    static void receive(Message& message, const char* data, size_t size)
    {
        message.isTooLarge = message.isTooLarge || message.body.size() + size > controlMessageLimit;
        if (message.isKnown && !message.isTooLarge)
            message.body.append(data, size);
    }

    static MHD_Result send(const Message& message)
    {
        MHD_Response* response = MHD_create_response_from_buffer(message.answer.size(), const_cast<char*>(message.answer.data()), MHD_RESPMEM_PERSISTENT);
        if (!response)
            return MHD_NO;
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
        const MHD_Result isQueued = MHD_queue_response(message.connection, message.status, response);
        MHD_destroy_response(response);
        return isQueued;
    }
};

ControlConnector::ControlConnector(ControlAddress address, std::vector<std::string> keys)
    : m_address(std::move(address))
    , m_keys(std::move(keys))
{
}

ControlConnector::~ControlConnector()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
}

bool ControlConnector::StartListening()
{
    try {
        const Poco::Net::SocketAddress address(Poco::Net::IPAddress(m_address.host), m_address.port);
        unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD;
        if (address.af() == AF_INET6)
            flags |= MHD_USE_IPv6;
        m_daemon = MHD_start_daemon(flags, m_address.port, nullptr, nullptr, &Callbacks::onAccess, this,
            MHD_OPTION_SOCK_ADDR, address.addr(),
            MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::onCompleted, this,
            MHD_OPTION_THREAD_POOL_SIZE, threadCount,
            MHD_OPTION_CONNECTION_LIMIT, connectionLimit,
            MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds,
            MHD_OPTION_END);
        if (!m_daemon) {
            m_error = "cannot listen at " + address.toString() + ": " + std::strerror(errno);
            return false;
        }
    } catch (const Poco::Exception& ec) {
        m_error = "host: found \"" + m_address.host + "\", expected an IP number (" + ec.displayText() + ")";
        return false;
    }
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return true;
}

bool ControlConnector::StopListening()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    return true;
}

bool ControlConnector::SendResponse(const std::string& response, void* message)
{
    static_cast<Message*>(message)->answer = response;
    return true;
}

void ControlConnector::handle(Message& message)
{
    if (!message.isKnown) {
        ++m_refusedKeys;
        message.status = MHD_HTTP_UNAUTHORIZED;
        message.answer = errorText(ControlKeyRefused, std::string(controlKeyHeader) + ": absent or not an accepted key");
        return;
    }
    if (message.isTooLarge) {
        message.status = MHD_HTTP_CONTENT_TOO_LARGE;
        message.answer = errorText(ControlTooLarge, "message: larger than " + std::to_string(controlMessageLimit) + " bytes");
        return;
    }
    try {
        OnRequest(message.body, &message);
    } catch (const std::exception& ec) {
        // jsoncpp throws on messages nested too deep.
        message.answer = errorText(ControlMalformedInput, ec.what());
    }
}

bool ControlConnector::hasAcceptedKey(MHD_Connection* connection) const
{
    const char* key = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, controlKeyHeader);
    return key && isKnownKey(m_keys, key);
}

}
