#pragma once

#include "entry/RequestRun.h"

namespace parsleypaddle {

/// One step of a transaction: Begin goes to the primary's home, the others to the home that holds the connection.
class TransactionRun final : public RequestRun {
public:
    using RequestRun::RequestRun;

protected:
    void attempt() override;
    ResultCode codeAtDeadline() const override;

private:
    void handleBegin(const HomeReply&);
    void handleStep(const HomeReply&);
    void settleCommit();

    bool m_isUnderWay { false };
};

}
