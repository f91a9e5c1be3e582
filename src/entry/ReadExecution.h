#pragma once

#include "entry/RequestExecution.h"

namespace parsleypaddle {

/// Executes a read: determines the log position that the session has to see, then tries the targets that may have
/// reached it, in the router's order.
class ReadExecution final : public RequestExecution {
public:
    using RequestExecution::RequestExecution;

protected:
    void attempt() override;
    ResultCode resultCodeAtDeadline() const override;

private:
    /// Whether the primary must be asked for its position. False without a session, and when the session token has a valid
    /// position, which is then stored in m_position and m_term.
    bool mustFetchPosition();
    void fetchPrimaryPosition();
    void selectCandidates();
    void readFromNextCandidate();
    void handleReply(const TargetId&, Instant sentAt, const HomeReply&);

    bool m_hasPosition { false };
    LogPosition m_position;
    Term m_term;
    std::vector<TargetId> m_candidates;
};

}
