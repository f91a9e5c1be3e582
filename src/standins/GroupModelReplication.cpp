#include "standins/ModelTarget.h"

#include <algorithm>

namespace parsleypaddle {

// A replica follows the primary of the highest term in reach, but never one of an older term than its own. A fenced
// primary commits nothing more, yet still sends the rest of its log to replicas that are not fenced themselves.
GroupModel::ModelTarget* GroupModel::primaryFor(const ModelTarget& replica)
{
    ModelTarget* best = nullptr;
    if (replica.isIsolated)
        return best;
    for (const auto& it : m_targets) {
        const bool isSending = it->role == TargetRole::Primary || (it->isFenced && !replica.isFenced && replica.role == TargetRole::Replica);
        const bool isCandidate = it.get() != &replica && isSending && !it->isIsolated && it->ledTerm >= replica.term;
        if (isCandidate && (!best || it->ledTerm > best->ledTerm))
            best = it.get();
    }
    return best;
}

void GroupModel::replicate()
{
    for (const auto& it : m_targets)
        replicateTo(*it);
}

void GroupModel::replicateTo(ModelTarget& replica)
{
    const ModelTarget* primary = primaryFor(replica);
    if (replica.role == TargetRole::Primary) {
        if (!primary || primary->ledTerm <= replica.term)
            return;
        replica.role = TargetRole::Replica;
    }
    const Instant now = m_loop.now();
    if (primary) {
        if (primary->ledTerm > replica.term || replica.isFenced)
            follow(replica, *primary);
        while (replica.log.size() < primary->log.size() && primary->log[replica.log.size()]->at + replica.delay <= now)
            replica.log.push_back(primary->log[replica.log.size()]);
    }
    size_t due = replica.applied;
    while (due < replica.log.size() && replica.log[due]->at + replica.delay + replica.applyLag <= now)
        ++due;
    apply(replica, due);
    if (!primary)
        return;
    const bool isLevel = replica.applied == primary->log.size();
    replica.freshAt = std::max(replica.freshAt, isLevel ? now - replica.delay : primary->log[replica.applied]->at);
}

void GroupModel::follow(ModelTarget& replica, const ModelTarget& primary)
{
    size_t common = 0;
    const size_t most = std::min(replica.log.size(), primary.log.size());
    while (common < most && replica.log[common] == primary.log[common])
        ++common;
    replica.log.resize(common);
    replica.term = primary.ledTerm;
    replica.followedTerm = primary.ledTerm;
    replica.isFenced = false;
    if (replica.applied <= common)
        return;
    replica.records.clear();
    replica.ledger.clear();
    replica.applied = 0;
    apply(replica, common);
}

void GroupModel::apply(ModelTarget& target, size_t upTo)
{
    for (; target.applied < upTo; ++target.applied) {
        const ModelCommit& commit = *target.log[target.applied];
        for (const auto& it : commit.changes)
            applyChange(target.records, it);
        for (const auto& it : commit.ledger)
            target.ledger[ledgerIndex(it.key)] = it;
    }
}

}
