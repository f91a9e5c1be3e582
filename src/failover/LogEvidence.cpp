#include "failover/LogEvidence.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    // A replica that lags, or receives nothing, may not have reached the beginning of the term either. Only a restart makes a short log doubtful.
    bool isKnown(const KnownLog& log, const LogMark& termBegin)
    {
        return log.received && !(log.hasRestarted && log.received->position < termBegin.position);
    }

}

bool reaches(const LogMark& received, const LogMark& required)
{
    return !(received < required) && !(received.position < required.position);
}

// A primary's log reaches at least as far as those of its replicas, unless it was lost.
bool isWholeLog(const LogMark& ofPrimary, const KnownLogs& logs)
{
    const bool isBehindReplica = std::any_of(logs.others.begin(), logs.others.end(), [&ofPrimary](const KnownLog& it) { return it.received && ofPrimary < *it.received; });
    return !isBehindReplica && !(ofPrimary.position < logs.termBegin.position);
}

LogEvidence LogEvidence::evaluate(const KnownLogs& logs)
{
    LogEvidence evidence;
    evidence.m_termBegin = logs.termBegin.position;
    if (logs.oldPrimary) {
        evidence.m_required = logs.oldPrimary;
        return evidence;
    }
    LogMark greatest;
    for (const auto& it : logs.others) {
        if (isKnown(it, logs.termBegin))
            greatest = std::max(greatest, *it.received);
        else
            evidence.m_missing.push_back(it.target);
    }
    // A commit is in so many of the others, so that it is in none of the missing ones only if these are fewer.
    if (logs.areOthersUnknown || evidence.m_missing.size() >= logs.synchronousReplicas || evidence.m_missing.size() == logs.others.size())
        return evidence;
    evidence.m_required = greatest;
    evidence.m_missing.clear();
    return evidence;
}

bool LogEvidence::covers(const LogMark& received) const
{
    return m_required && reaches(received, *m_required) && !(received.position < m_termBegin);
}

}
