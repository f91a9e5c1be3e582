#pragma once

#include "base/ResultCode.h"
#include "pq/PipelineStep.h"
#include "pq/PqHandle.h"
#include "pq/WatchedSocket.h"

#include <set>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// One connection to a target over libpq's pipeline mode.
class PqConnection final : public TargetConnection {
public:
    /// Takes over an open connection in pipeline mode.
    static std::unique_ptr<TargetConnection> create(PollLoop&, std::string name, PqHandle, std::unique_ptr<WatchedSocket>);
    ~PqConnection() override;

    void run(const TargetBatch&, Milliseconds timeout, Done) override;

private:
    enum class Phase : uint8_t {
        Idle,
        Running,
        /// A failed transaction is being rolled back.
        Recovering,
        /// Lost, silent or in doubt.
        Dead,
    };

    /// What the next result belongs to.
    struct SentStep {
        StepKind kind { StepKind::Check };
        const char* preparedName { "" };
    };

    PqConnection(PollLoop&, std::string name, PqHandle, std::unique_ptr<WatchedSocket>);

    absl::Status checkRunnable(const TargetBatch&) const;
    void answerLater(absl::Status);
    bool send(const std::vector<PipelineStep>&);
    bool flush();
    void ready(Readiness);
    bool takeResults();
    void takeResult(const PGresult*);
    void takeError(const PGresult*);
    void takeSuccess(const SentStep&, const PGresult*);
    bool endPipeline();
    bool isReplyConsistent() const;
    void finish();
    void lose(ResultCode, const std::string& reason);
    void answer(absl::StatusOr<TargetReply>);

    PollLoop& m_loop;
    std::string m_name;
    PqHandle m_handle;
    std::unique_ptr<WatchedSocket> m_socket;
    Phase m_phase { Phase::Idle };
    TargetOperation m_operation { TargetOperation::Status };
    /// The term of the batch, or of the transaction it belongs to.
    Term m_term;
    std::vector<SentStep> m_steps;
    size_t m_nextStep { 0 };
    /// The names of the texts that the target has prepared for this connection.
    std::set<std::string_view> m_prepared;
    TargetReply m_reply;
    absl::Status m_error;
    bool m_hasStatus { false };
    bool m_isCommitted { false };
    /// Results contradict each other or the connection's transaction state.
    bool m_isInDoubt { false };
    TimerId m_timer { TimerId::None };
    Done m_done;
};

}
