#pragma once

#include "entry/RequestRun.h"

namespace parsleypaddle {

/// A write on its own. It is sent again with the same ledger key until its outcome is known: the ledger keeps it from
/// running twice. When time runs short an uncertain one is settled, which keeps it from running later.
class WriteRun final : public RequestRun {
public:
    using RequestRun::RequestRun;

    /// A run that only settles: for a commit whose outcome is unknown.
    void startSettling();

protected:
    void attempt() override;
    ResultCode codeAtDeadline() const override;

private:
    void send(HomeOperation);
    void handleReply(HomeOperation, const HomeReply&);
    void handleRefusal(HomeOperation, const StatementAnswer&);
    bool mustSettle() const;

    /// An attempt may have run without our knowing.
    bool m_isUncertain { false };
    bool m_isSettling { false };
    bool m_isUnderWay { false };
    Milliseconds m_settleBelow;
};

}
