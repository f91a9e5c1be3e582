#include "gateway/Gateway.h"

#include "gateway/GatewayServer.h"

namespace parsleypaddle {

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::create(PollLoop& loop, GatewaySettings settings, GatewayHandlers handlers)
{
    std::unique_ptr<Gateway> gateway(new Gateway);
    gateway->m_server = std::make_unique<Server>(loop, std::move(settings), std::move(handlers));
    if (auto ec = gateway->m_server->start(); !ec.ok())
        return ec;
    return gateway;
}

Gateway::Gateway() = default;

Gateway::~Gateway() = default;

uint16_t Gateway::port() const
{
    return m_server->port();
}

void Gateway::stopAccepting()
{
    m_server->stopAccepting();
}

size_t Gateway::requestsInFlight() const
{
    return m_server->requestsInFlight();
}

size_t Gateway::connections() const
{
    return m_server->connections();
}

const GatewayCounts& Gateway::counts() const
{
    return m_server->counts();
}

}
