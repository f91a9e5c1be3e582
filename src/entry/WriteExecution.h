#pragma once

#include "entry/RequestExecution.h"

namespace parsleypaddle {

/// Executes a write outside a transaction. The write is retried under the same request id until its outcome is known;
/// the target's ledger prevents it from running twice. When little time is left and the outcome is still uncertain, the
/// write is settled: the ledger reports that it ran, or records that it must never run.
class WriteExecution final : public RequestExecution {
public:
    using RequestExecution::RequestExecution;

    /// Starts by settling, without sending the write: for a commit whose outcome is unknown.
    void startSettling();

protected:
    void attempt() override;
    ResultCode resultCodeAtDeadline() const override;

private:
    void send(HomeOperation);
    void handleReply(HomeOperation, const HomeReply&);
    void handleNotRun(HomeOperation, const StatementAnswer&);
    bool mustSettle() const;

    /// Whether an attempt may have run without its result being known.
    bool m_isUncertain { false };
    bool m_isSettling { false };
    bool m_isInFlight { false };
    /// An uncertain write is settled once less time than this remains.
    Milliseconds m_settlementThreshold;
};

}
