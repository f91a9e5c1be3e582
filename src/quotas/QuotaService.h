#pragma once

#include "quotas/QuotaClient.h"
#include "quotas/QuotaCoordinator.h"

namespace parsleypaddle {

/// The quota client and the quota coordinator of one daemon, and their datagrams.
class QuotaService {
public:
    struct Context {
        EventLoop& loop;
        DatagramPort& port;
        DecisionLog& log;
        InstanceId instance;
        FailureDomainId domain;
        /// All failure domains of the deployment.
        std::set<FailureDomainId> domains;
        /// Where other daemons reach this one's datagram port.
        TargetAddress address;
        std::function<bool()> holdsRow;
        std::function<bool()> isRowValid;
        std::function<void()> refreshHolders;
        uint64_t seed { 0 };
    };

    explicit QuotaService(Context);
    ~QuotaService();

    void start() { m_coordinator.start(); }
    /// Sets the organisations and their limits; null when there are none.
    void setOrganisations(const std::shared_ptr<const OrganisationDirectory>&);
    /// Sets the other daemons that hold rows, of all failure domains.
    void setOtherHolders(std::vector<QuotaHolder>);

    OperationQuota& quota() { return m_client; }
    const QuotaClient& client() const { return m_client; }
    const QuotaCoordinator& coordinator() const { return m_coordinator; }

    /// Limits, use and shares of the organisations at this daemon, and of its failure domain if it is the coordinator, as JSON.
    std::string page() const;

private:
    void receive(const TargetAddress& from, std::string_view payload);

    Context m_context;
    QuotaCoordinator m_coordinator;
    QuotaClient m_client;
};

}
