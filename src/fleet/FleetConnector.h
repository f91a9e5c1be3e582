#pragma once

#include "fleet/NodeLoop.h"
#include "targets/TargetConnection.h"

#include <memory>
#include <set>

namespace parsleypaddle {

/// The target connections of one fake daemon: answers reach it only while it runs, and its end closes them all.
class FleetConnector final : public TargetConnector {
public:
    FleetConnector(NodeLoop&, std::unique_ptr<TargetConnector>);
    ~FleetConnector() override;

    void connect(const TargetConfiguration&, const OrganisationId&, Milliseconds timeout, Done) override;

    /// Closes every connection, as the end of a process does.
    void closeAll();

private:
    friend class FleetConnection;

    NodeLoop& m_loop;
    std::unique_ptr<TargetConnector> m_connector;
    std::set<std::shared_ptr<std::unique_ptr<TargetConnection>>> m_connections;
};

}
