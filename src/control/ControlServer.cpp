#include "control/ControlServer.h"

#include "control/ControlConnector.h"
#include "control/ControlProtocol.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace parsleypaddle {

/// Finds and calls the handlers.
class ControlServer::Internals final : public jsonrpc::IProcedureInvokationHandler {
public:
    Internals(const ControlAddress& address, std::vector<std::string> keys, std::map<std::string, ControlHandler> handlers)
        : m_handlers(std::move(handlers))
        , m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
        , m_connector(address, std::move(keys))
    {
        for (const auto& it : m_handlers)
            m_protocol->AddProcedure(jsonrpc::Procedure(it.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        m_connector.SetHandler(m_protocol.get());
    }

    ControlConnector& connector() { return m_connector; }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& parameters, Json::Value& result) override // NOLINT(readability-identifier-naming)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        const Json::Value& object = parameters.isNull() ? Json::Value(Json::objectValue) : parameters;
        const ControlResult given = m_handlers.at(procedure.GetProcedureName())(Json::writeString(builder, object));
        if (!given.isOk)
            throw jsonrpc::JsonRpcException(given.code, given.error);
        std::string faults;
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(given.body.data(), given.body.data() + given.body.size(), &result, &faults))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, "result: not JSON: " + faults);
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override // NOLINT(readability-identifier-naming)
    {
    }

private:
    std::map<std::string, ControlHandler> m_handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    // Last, so that its threads end before what they use.
    ControlConnector m_connector;
};

std::unique_ptr<ControlServer> ControlServer::create(const std::string& host, uint16_t port, std::vector<std::string> keys,
    std::map<std::string, ControlHandler> handlers, std::string& error)
{
    std::unique_ptr<ControlServer> server(new ControlServer);
    ControlAddress address;
    address.host = host;
    address.port = port;
    server->m_internals.reset(new Internals(address, std::move(keys), std::move(handlers)));
    auto& connector = server->m_internals->connector();
    if (connector.StartListening())
        return server;
    error = connector.error();
    return nullptr;
}

ControlServer::ControlServer() = default;

ControlServer::~ControlServer() = default;

uint16_t ControlServer::port() const
{
    return m_internals->connector().port();
}

uint64_t ControlServer::refusedKeys() const
{
    return m_internals->connector().refusedKeys();
}

}
