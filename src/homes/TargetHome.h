#pragma once

#include "configuration/Configuration.h"
#include "connections/ConnectionPool.h"
#include "homes/AdmissionCheck.h"
#include "homes/ConnectionShare.h"
#include "homes/GroupHome.h"
#include "homes/HomeCall.h"
#include "homes/TransactionTable.h"
#include "scheduling/WorkQueue.h"

#include <map>

namespace parsleypaddle {

/// Wait and run times of one piece of work at a home.
struct WorkTimes {
    Milliseconds waited;
    Milliseconds ran;
    /// How its batch ended at the target.
    ResultCode code { ResultCode::Done };
};

/// One daemon's use of one target: the queue before its slots, the connections, and the open transactions.
class TargetHome {
public:
    using Done = HomePort::Done;
    using Observer = std::function<void(const HomeCall&, const WorkTimes&)>;

    TargetHome(EventLoop&, TargetConnector&, GroupHome&, const TargetConfiguration&, const HomeSettings&, std::string transactionPrefix);
    ~TargetHome();

    TargetHome(const TargetHome&) = delete;
    TargetHome& operator=(const TargetHome&) = delete;

    /// Takes up a configuration and a share of the target.
    void setLimits(std::shared_ptr<const Configuration>, TargetShare);

    /// Queues and runs a Read, Write or Settle; answers at the latest by the request's deadline.
    void handle(const HomeCall&, Done);

    /// Sheds what expired and ends idle transactions. Called every few milliseconds while there is work.
    void tidy();

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
    Work workOf(const HomeCall&);
    Policy policyOf(const HomeCall&) const;

    void pump();
    void startJob(const JobPointer&);
    void runPinned(const JobPointer&);
    void runPooled(const JobPointer&);
    void runBatch(const JobPointer&, PooledConnection&);
    TargetBatch batchOf(const HomeCall&) const;
    Milliseconds timeoutOf(const Job&) const;

    void finishBatch(const JobPointer&, absl::StatusOr<TargetReply>);
    void keepTransaction(const JobPointer&, const absl::StatusOr<TargetReply>&);
    void succeed(const JobPointer&, TargetReply);
    void confirm(const JobPointer&, const TargetReply&, StatementAnswer);
    void endSlot(const JobPointer&);
    void abandonStranded();
    void answer(const JobPointer&, StatementAnswer, Term = {}, LogPosition = {});
    void refuse(const JobPointer&, const absl::Status&);

    EventLoop& m_loop;
    GroupHome& m_group;
    TargetConfiguration m_target;
    HomeSettings m_settings;
    AdmissionCheck m_admission;
    std::shared_ptr<const Configuration> m_configuration;
    TargetShare m_share;
    std::unique_ptr<ConnectionPool> m_pool;
    std::unique_ptr<WorkQueue> m_queue;
    TransactionTable m_transactions;
    std::map<WorkId, JobPointer> m_waiting;
    /// Jobs whose batch is at the target.
    std::map<WorkId, JobPointer> m_atTarget;
    uint64_t m_lastWork { 0 };
    size_t m_underWay { 0 };
    Observer m_observer;
    /// Expires with this object, so that late answers find nothing.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
