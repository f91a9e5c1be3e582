#include "fleet/FleetConnector.h"

namespace parsleypaddle {

class FleetConnection final : public TargetConnection {
public:
    using Shared = std::shared_ptr<std::unique_ptr<TargetConnection>>;

    FleetConnection(FleetConnector& connector, Shared connection)
        : m_connector(connector)
        , m_connection(std::move(connection))
    {
    }

    ~FleetConnection() override
    {
        m_connection->reset();
        m_connector.m_connections.erase(m_connection);
    }

    void run(const TargetBatch& batch, Milliseconds timeout, Done done) override
    {
        if (!*m_connection)
            return;
        std::weak_ptr<bool> open = m_open;
        NodeLoop& loop = m_connector.m_loop;
        (*m_connection)->run(batch, timeout, [open, &loop, done = std::move(done)](absl::StatusOr<TargetReply> reply) {
            loop.run([open, done, reply = std::move(reply)] {
                if (!open.expired())
                    done(reply);
            });
        });
    }

private:
    FleetConnector& m_connector;
    Shared m_connection;
    std::shared_ptr<bool> m_open { std::make_shared<bool>(true) };
};

FleetConnector::FleetConnector(NodeLoop& loop, std::unique_ptr<TargetConnector> connector)
    : m_loop(loop)
    , m_connector(std::move(connector))
{
}

FleetConnector::~FleetConnector() = default;

void FleetConnector::connect(const TargetConfiguration& target, const OrganisationId& organisation, Milliseconds timeout, Done done)
{
    m_connector->connect(target, organisation, timeout, [this, done = std::move(done)](absl::StatusOr<std::unique_ptr<TargetConnection>> connection) {
        if (m_loop.isStopped())
            return;
        if (!connection.ok())
            return m_loop.run([done, status = connection.status()] { done(status); });
        auto shared = std::make_shared<std::unique_ptr<TargetConnection>>(std::move(*connection));
        m_connections.insert(shared);
        m_loop.run([this, done, shared] { done(std::unique_ptr<TargetConnection>(new FleetConnection(*this, shared))); });
    });
}

void FleetConnector::closeAll()
{
    for (const auto& it : m_connections)
        it->reset();
    m_connections.clear();
}

}
