#pragma once

#include "base/EventLoop.h"
#include "directory/OrganisationDirectory.h"
#include "net/DatagramPort.h"
#include "quotas/DomainShares.h"
#include "quotas/OrganisationLender.h"
#include "quotas/QuotaHolders.h"
#include "quotas/QuotaMessages.h"
#include "telemetry/DecisionLog.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace parsleypaddle {

/// Lends a failure domain's part of every organisation's limit to the daemons of the domain. Each holder of a lease row has one; it acts
/// only while its daemon is the first holder of the domain, or while those before it are silent.
class QuotaCoordinator {
public:
    struct Context {
        EventLoop& loop;
        DatagramPort& port;
        DecisionLog& log;
        InstanceId instance;
        FailureDomainId domain;
        /// All failure domains of the deployment.
        std::set<FailureDomainId> domains;
        /// Whether this daemon is a holder, and whether its row is valid.
        std::function<bool()> holdsRow;
        std::function<bool()> isRowValid;
        /// Reads the leases, because holders of other domains are not known yet.
        std::function<void()> refreshHolders;
    };

    /// What is lent of one organisation's limit in this domain.
    struct Lending {
        OrganisationId organisation;
        double limit { 0 };
        /// Part of the limit that this domain may use.
        double share { 0 };
        double lent { 0 };
        double demand { 0 };
        size_t borrowers { 0 };
    };

    explicit QuotaCoordinator(Context);
    ~QuotaCoordinator();

    void start();
    void setOrganisations(std::shared_ptr<const OrganisationDirectory>);
    /// Sets all holders, this daemon included if it is one.
    void setHolders(const std::vector<QuotaHolder>&);

    /// Answers a report; the answer names another daemon when this one does not act.
    QuotaAnswer answer(const QuotaReport&);
    void handle(const TargetAddress& from, const QuotaExchange&);
    void handle(const TargetAddress& from, const QuotaTransfer&);
    void handle(const TargetAddress& from, const QuotaBeat&);

    bool isActing() const { return m_isActing; }
    std::vector<Lending> lendings() const;

private:
    /// A holder that is silent for this long does not act: two of its messages were lost, or it is gone.
    static constexpr Milliseconds maxSilence { 1100 };
    static constexpr Milliseconds maxRemoteSilence { 1600 };
    static constexpr Milliseconds lentListInterval { 900 };
    /// A list of what was lent that is older than this says nothing about the present.
    static constexpr Milliseconds predecessorAge { 4000 };

    /// What is known of another holder of the own domain.
    struct Neighbour {
        Instant listedAt;
        Instant heardAt;
        bool isHolder { true };
        bool isActing { false };
        TargetAddress address;
    };

    struct RemoteDomain {
        Instant heardAt;
        TargetAddress address;
        uint64_t sentVersion { 0 };
        /// Number of the last transfer of the domain.
        uint64_t lastTransfer { 0 };
        size_t nextHolder { 0 };
    };

    void tick();
    void beginAnew();
    void decideActing();
    void updateSettled();
    bool isFirst(Instant now) const;
    /// How long this coordinator has been acting.
    Milliseconds acting() const { return m_context.loop.now() - m_actingSince; }
    void beginActing();
    void takeOver();
    void stopActing();
    void renewDomainShares(uint64_t earlierTerm);
    void updateValidity();
    void updateShares();
    QuotaAnswer::Entry answerEntry(const QuotaReport&, const QuotaReport::Entry&);
    void refreshHolders();
    OrganisationLender* lenderOf(const OrganisationId&);
    void begin(const OrganisationId&, OrganisationLender&);
    void sendBeats(bool needsReply);
    QuotaBeat beat(bool needsReply) const;
    void exchangeSoon();
    void sendExchanges(bool isRegular);
    void sendExchange(const FailureDomainId&, RemoteDomain&);
    void askOthersSoon();
    void askOthers();
    void send(const FailureDomainId&, std::vector<QuotaTransfer::Entry>);
    std::set<FailureDomainId> presentDomains() const;

    Context m_context;
    std::shared_ptr<const OrganisationDirectory> m_organisations;
    std::vector<QuotaHolder> m_holders;
    std::vector<QuotaHolder> m_ranked;
    std::map<InstanceId, Neighbour> m_neighbours;
    std::map<FailureDomainId, RemoteDomain> m_remotes;
    /// What the acting coordinator had lent as of its last message.
    std::map<OrganisationId, QuotaBeat::Entry> m_predecessorLent;
    Instant m_predecessorHeardAt;
    bool m_isActing { false };
    bool m_isValid { true };
    uint64_t m_term { 0 };
    std::unique_ptr<DomainShares> m_shares;
    std::map<OrganisationId, OrganisationLender> m_lenders;
    /// By daemon, the number of its last report.
    std::map<InstanceId, uint64_t> m_reports;
    Instant m_begunAt;
    Instant m_actingSince;
    bool m_heldRow { false };
    bool m_isSettled { false };
    Instant m_tickedAt;
    Instant m_sentAt;
    Instant m_listedLentAt;
    Instant m_refreshedAt;
    uint32_t m_refreshes { 0 };
    /// Whether other domains' claims have not been confirmed yet.
    bool m_mustConfirm { false };
    TimerId m_timer { TimerId::None };
    uint64_t m_transferNumber { 0 };
    TimerId m_askTimer { TimerId::None };
    TimerId m_exchangeTimer { TimerId::None };
};

}
