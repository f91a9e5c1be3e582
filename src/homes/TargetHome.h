#pragma once

#include "configuration/Configuration.h"
#include "connections/ConnectionPool.h"
#include "homes/AdmissionCheck.h"
#include "homes/ConnectionShare.h"
#include "homes/GroupMonitor.h"
#include "homes/HomeCall.h"
#include "homes/TransactionTable.h"
#include "scheduling/WorkQueue.h"

#include <map>

namespace parsleypaddle {

/// Times and result of a call whose batch was sent to the target.
struct CallMeasurement {
    /// From the call's arrival until it got a slot.
    Milliseconds queueTime;
    /// From then until the batch ended, including the wait for a connection.
    Milliseconds runTime;
    /// Result of the call's batch at the target.
    ResultCode code { ResultCode::Done };
};

/// Runs calls at one target: queues them until a slot is free, and owns this daemon's connections to the target and its open
/// transactions there.
class TargetHome {
public:
    using Done = HomeClient::Done;
    using Observer = std::function<void(const HomeCall&, const CallMeasurement&)>;

    TargetHome(EventLoop&, TargetConnector&, GroupMonitor&, const TargetConfiguration&, const HomeSettings&, std::string transactionPrefix);
    ~TargetHome();

    TargetHome(const TargetHome&) = delete;
    TargetHome& operator=(const TargetHome&) = delete;

    /// Applies a configuration and this daemon's share of the target's connections and slots.
    void setLimits(std::shared_ptr<const Configuration>, TargetShare);

    /// Queues and runs a Read, Write or Settle. A call that is still queued at its deadline is answered by the next
    /// runMaintenance(). Other calls are answered by their deadline.
    void execute(const HomeCall&, Done);

    /// Aborts stalled jobs, rejects expired requests, starts queued ones and closes idle transactions. Has to be called
    /// every few milliseconds.
    void runMaintenance();

    void onWorkDone(Observer observer) { m_observer = std::move(observer); }

    bool isIdle() const;
    size_t openTransactions() const { return m_transactions.size(); }
    const ConnectionPool& pool() const { return *m_pool; }
    const WorkQueue& queue() const { return *m_queue; }

private:
    struct Job;
    using JobPointer = std::shared_ptr<Job>;

    void confirmPrimary(const JobPointer&);
    void enqueue(const JobPointer&);
    WorkItem workOf(const HomeCall&);
    Policy policyOf(const HomeCall&) const;

    void dispatchQueue();
    void startJob(const JobPointer&);
    void runInOpenTransaction(const JobPointer&);
    void runOnPooledConnection(const JobPointer&);
    void runBatch(const JobPointer&, PooledConnection&);
    TargetBatch batchOf(const HomeCall&) const;
    Milliseconds timeoutOf(const Job&) const;

    void finishBatch(const JobPointer&, absl::StatusOr<TargetReply>);
    void updateTransaction(const JobPointer&, const absl::StatusOr<TargetReply>&);
    void processReply(const JobPointer&, TargetReply);
    void awaitAcknowledgement(const JobPointer&, const TargetReply&, StatementAnswer);
    void releaseSlot(const JobPointer&);
    void abortStalledJobs();
    void answer(const JobPointer&, StatementAnswer, Term = {}, LogPosition = {});
    void refuse(const JobPointer&, const absl::Status&);

    EventLoop& m_loop;
    GroupMonitor& m_group;
    TargetConfiguration m_target;
    HomeSettings m_settings;
    AdmissionCheck m_admission;
    std::shared_ptr<const Configuration> m_configuration;
    TargetShare m_share;
    std::unique_ptr<ConnectionPool> m_pool;
    std::unique_ptr<WorkQueue> m_queue;
    TransactionTable m_transactions;
    std::map<WorkId, JobPointer> m_queuedJobs;
    /// Jobs whose batch was sent to the target and not answered yet.
    std::map<WorkId, JobPointer> m_runningJobs;
    uint64_t m_lastWorkId { 0 };
    size_t m_unansweredCalls { 0 };
    Observer m_observer;
    /// Callbacks hold a weak pointer to this, to detect that the object was destroyed before they were called.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
