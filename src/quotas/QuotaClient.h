#pragma once

#include "base/EventLoop.h"
#include "directory/OrganisationDirectory.h"
#include "net/DatagramPort.h"
#include "quotas/OperationAllowance.h"
#include "quotas/QuotaHolders.h"
#include "telemetry/DecisionLog.h"

#include <map>
#include <memory>
#include <vector>

namespace parsleypaddle {

/// Admits operations of organisations at one daemon, by the shares and single units that the coordinator of its failure domain gives.
/// Reports to the coordinator only while callers of some organisation are active.
class QuotaClient final : public OperationQuota {
public:
    /// How long an operation waits for an allowance.
    static constexpr Milliseconds maxWait { 100 };

    struct Context {
        EventLoop& loop;
        DatagramPort& port;
        DecisionLog& log;
        InstanceId instance;
        FailureDomainId domain;
        /// Handles a report in this process, when this daemon is the coordinator that it would be sent to.
        std::function<QuotaAnswer(const QuotaReport&)> answerHere;
    };

    /// What one organisation did and holds at this daemon.
    struct Use {
        OrganisationId organisation;
        uint64_t admitted { 0 };
        uint64_t refused { 0 };
        double demand { 0 };
        LentShare share;
    };

    QuotaClient(Context, uint64_t seed);
    ~QuotaClient() override;

    void admit(const OrganisationId&, Decided) override;

    /// Sets the organisations and their limits; null when there are none, and every operation is admitted.
    void setOrganisations(std::shared_ptr<const OrganisationDirectory>);
    /// Sets all holders, this daemon included if it is one.
    void setHolders(const std::vector<QuotaHolder>&);
    void handle(const QuotaAnswer&);
    void handle(const QuotaConfirmation&);

    std::vector<Use> uses() const;

private:
    using Entry = std::pair<const OrganisationId, OperationAllowance>;
    struct SentReport {
        uint64_t number { 0 };
        Instant sentAt;
        /// The coordinator whose answers were confirmed.
        uint64_t coordinator { 0 };
        /// Confirmed numbers of answers by organisation.
        std::vector<std::pair<OrganisationId, uint64_t>> confirmed;
    };

    OperationAllowance& allowanceOf(const OrganisationId&);
    double limitOf(const OrganisationId&) const;
    void tick();
    void checkWaiters();
    void serve(Entry&);
    void refuse(Entry&, const Decided&);
    void endWaiters(Entry&, Instant arrivedBy);
    void report(const std::vector<Entry*>&);
    void send(const QuotaReport&);
    void keepShares(const SentReport&, const QuotaAnswer&);
    void askFor(Entry&);
    void scheduleConfirmation(Entry&);
    void checkSilence();
    void avoidTarget(Milliseconds);
    const QuotaHolder* target();

    Context m_context;
    std::mt19937_64 m_random;
    std::shared_ptr<const OrganisationDirectory> m_organisations;
    std::vector<QuotaHolder> m_holders;
    std::map<InstanceId, Instant> m_avoidedUntil;
    /// Where the acting coordinator is, as another holder has told.
    QuotaHolder m_hinted;
    Instant m_hintedUntil;
    std::map<OrganisationId, OperationAllowance> m_allowances;
    std::vector<Entry*> m_active;
    std::vector<Entry*> m_toConfirm;
    uint64_t m_coordinator { 0 };
    uint64_t m_reportNumber;
    std::vector<SentReport> m_sent;
    Instant m_unansweredSince;
    uint32_t m_ticks { 0 };
    TimerId m_tickTimer { TimerId::None };
    TimerId m_waitTimer { TimerId::None };
    TimerId m_confirmTimer { TimerId::None };
    Instant m_loggedAt;
};

}
