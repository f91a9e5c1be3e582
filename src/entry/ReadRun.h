#pragma once

#include "entry/RequestRun.h"

namespace parsleypaddle {

/// A read: it finds out what the session has to see, then asks targets that may have it, best first.
class ReadRun final : public RequestRun {
public:
    using RequestRun::RequestRun;

protected:
    void attempt() override;
    ResultCode codeAtDeadline() const override;

private:
    bool mustAskPosition();
    void askPosition();
    void askTargets();
    void askNextTarget();
    void handleReply(const TargetId&, Instant sentAt, const HomeReply&);

    bool m_hasPosition { false };
    LogPosition m_position;
    Term m_term;
    std::vector<TargetId> m_candidates;
};

}
