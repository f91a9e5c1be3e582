#pragma once

#include "entry/RequestExecution.h"

namespace parsleypaddle {

/// Executes one step of a transaction. Begin is sent to the primary's homes, the other steps to the daemon that holds the
/// transaction's connection. A commit that is not reported as done is settled as WriteExecution settles a write.
class TransactionStepExecution final : public RequestExecution {
public:
    using RequestExecution::RequestExecution;

protected:
    void attempt() override;
    ResultCode resultCodeAtDeadline() const override;

private:
    void handleBeginReply(const HomeReply&);
    void handleStepReply(const HomeReply&);
    void settleCommit();

    /// Whether a step has been sent, or a commit is being settled, and the result is not known yet.
    bool m_isInFlight { false };
};

}
