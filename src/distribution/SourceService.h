#pragma once

#include "base/EventLoop.h"
#include "distribution/PeerChannel.h"
#include "distribution/SharedRows.h"
#include "distribution/TransferBudget.h"
#include "leases/InstanceLease.h"
#include "telemetry/DecisionLog.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace parsleypaddle {

/// Serves other daemons, the subscribers, as their source: answers their requests for the platform's tables and grants them
/// leases under this daemon's own lease.
class SourceService {
public:
    SourceService(EventLoop&, SharedRows&, InstanceLease&, DecisionLog&);
    ~SourceService();

    /// Takes a channel that a daemon has opened. The callbacks are to be called for it.
    PeerChannelCallbacks accept(std::shared_ptr<PeerChannel>);

    /// While this is false, daemons that subscribe are told to go elsewhere, as are the subscribers when it becomes false. Those
    /// keep being served until they leave.
    void setServing(bool);

    size_t subscribers() const;

private:
    struct Subscriber;

    void applyLine(const std::shared_ptr<Subscriber>&, std::string_view line);
    void apply(const std::shared_ptr<Subscriber>&, const SubscribeMessage&);
    void apply(const std::shared_ptr<Subscriber>&, const TableRequest&);
    void apply(const std::shared_ptr<Subscriber>&, const RenewMessage&);
    void apply(const std::shared_ptr<Subscriber>&, const ReceivedMessage&);
    void apply(const std::shared_ptr<Subscriber>&, const LeaveMessage&);
    template <typename Message>
    void apply(const std::shared_ptr<Subscriber>&, const Message&);
    void dropEarlier(const InstanceId&);
    void answerTable(Subscriber&, const std::string& table);
    /// The rows that answer a request, null if there is nothing to answer yet.
    const EncodedRows* rowsFor(const TableRequest&);
    void answerAll(const std::string& table);
    /// Answers requests that had to wait for other transfers.
    void continueTransfers();
    void reject(const std::shared_ptr<Subscriber>&, std::string_view why);
    void drop(const std::shared_ptr<Subscriber>&, std::string_view why);
    void dropSilent();
    void scheduleSilenceCheck();

    EventLoop& m_loop;
    SharedRows& m_rows;
    InstanceLease& m_lease;
    DecisionLog& m_log;
    bool m_isServing { false };
    std::set<std::shared_ptr<Subscriber>> m_subscribers;
    /// The rows sent last as the answer to a request for a whole table or its changes.
    struct SentRows {
        RowVersion after;
        RowVersion version;
        EncodedRows rows;
    };

    /// By table and whether the whole table is asked for. Most subscribers ask for the same rows at the same time.
    std::map<std::pair<std::string, bool>, SentRows> m_sentRows;
    /// The subscriber that left last to hold a row itself, and until when the others are told.
    std::optional<LeaseMember> m_newHolder;
    Instant m_newHolderUntil;
    TransferBudget m_transfers;
    TimerId m_silenceTimer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
