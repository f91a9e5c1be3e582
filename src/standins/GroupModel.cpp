#include "standins/GroupModel.h"

#include "base/ResultCode.h"
#include "standins/ModelTarget.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cassert>

namespace parsleypaddle {

namespace {

    constexpr Term firstTerm { 1 };

}

GroupModel::GroupModel(const EventLoop& loop, DatabaseId database, const std::vector<TargetId>& targets)
    : m_loop(loop)
    , m_database(std::move(database))
{
    for (const auto& it : targets) {
        auto target = std::make_shared<ModelTarget>();
        target->id = it;
        target->term = firstTerm;
        target->followedTerm = firstTerm;
        target->freshAt = loop.now();
        m_targets.push_back(std::move(target));
    }
    assert(!m_targets.empty());
    m_targets.front()->role = TargetRole::Primary;
    m_targets.front()->ledTerm = firstTerm;
}

absl::StatusOr<TargetReply> GroupModel::execute(const TargetId& id, const TargetBatch& batch, ModelTransaction& transaction)
{
    replicate();
    ModelTarget& target = find(id);
    switch (batch.operation) {
    case TargetOperation::Status:
        return replyOf(target);
    case TargetOperation::Fence:
        return fence(target, batch.term);
    case TargetOperation::Promote:
        return promote(target, batch);
    case TargetOperation::Read:
        return read(target, batch);
    case TargetOperation::Write:
        return write(target, batch);
    case TargetOperation::Settle:
        return settle(target, batch);
    case TargetOperation::Begin:
        return begin(target, batch, transaction);
    case TargetOperation::Continue:
        return proceed(target, batch, transaction);
    case TargetOperation::Commit:
        return commit(target, batch, transaction);
    case TargetOperation::Rollback:
        transaction = {};
        return replyOf(target);
    case TargetOperation::Relay:
        break;
    }
    return makeError(ResultCode::StatementFailed, "unknown operation");
}

TargetStatus GroupModel::statusOf(const TargetId& id)
{
    replicate();
    return statusOf(find(id));
}

void GroupModel::setReplication(const TargetId& id, Milliseconds delay, Milliseconds applyLag)
{
    replicate();
    ModelTarget& target = find(id);
    target.delay = delay;
    target.applyLag = applyLag;
}

void GroupModel::setIsolated(const TargetId& id, bool isIsolated)
{
    replicate();
    find(id).isIsolated = isIsolated;
}

void GroupModel::setLeaving(const TargetId& id, bool isLeaving)
{
    find(id).isLeaving = isLeaving;
}

std::vector<ModelCommit> GroupModel::survivingLog()
{
    replicate();
    const ModelTarget* best = nullptr;
    for (const auto& it : m_targets) {
        if (it->role == TargetRole::Primary && (!best || it->term > best->term))
            best = it.get();
    }
    std::vector<ModelCommit> commits;
    if (!best)
        return commits;
    for (const auto& it : best->log)
        commits.push_back(*it);
    return commits;
}

ModelRecords GroupModel::survivingRecords()
{
    ModelRecords records;
    for (const auto& commit : survivingLog()) {
        for (const auto& change : commit.changes)
            applyChange(records, change);
    }
    return records;
}

GroupModel::ModelTarget& GroupModel::find(const TargetId& id)
{
    auto it = std::find_if(m_targets.begin(), m_targets.end(), [&id](const auto& target) { return target->id == id; });
    assert(it != m_targets.end());
    return **it;
}

TargetStatus GroupModel::statusOf(const ModelTarget& target) const
{
    TargetStatus status;
    status.role = target.role;
    status.term = target.term;
    if (!target.log.empty())
        status.logTerm = target.log.back()->term;
    status.position = LogPosition(target.log.size());
    status.applied = LogPosition(target.applied);
    if (target.role == TargetRole::Replica)
        status.age = m_loop.now() - target.freshAt;
    status.isLeaving = target.isLeaving;
    return status;
}

absl::Status GroupModel::checkWritable(const ModelTarget& target, Term term) const
{
    if (target.role != TargetRole::Primary)
        return makeError(ResultCode::NoPrimary, absl::StrCat(target.id.value(), " is a replica"));
    if (target.term != term)
        return makeError(ResultCode::TermChanged, absl::StrCat(target.id.value(), " is at term ", target.term.value()));
    return absl::OkStatus();
}

absl::StatusOr<TargetReply> GroupModel::fence(ModelTarget& target, Term term)
{
    if (term <= target.term)
        return makeError(ResultCode::TermChanged, absl::StrCat(target.id.value(), " is at term ", target.term.value()));
    target.term = term;
    target.role = TargetRole::Replica;
    target.isFenced = true;
    return replyOf(target);
}

absl::StatusOr<TargetReply> GroupModel::promote(ModelTarget& target, const TargetBatch& batch)
{
    if (batch.term != target.term || !target.isFenced)
        return makeError(ResultCode::TermChanged, absl::StrCat(target.id.value(), " is at term ", target.term.value()));
    target.role = TargetRole::Primary;
    target.ledTerm = batch.term;
    target.followedTerm = batch.term;
    target.isFenced = false;
    apply(target, target.log.size());
    record(target, batch, LogPosition(target.log.size()));
    return replyOf(target);
}

absl::StatusOr<TargetReply> GroupModel::read(ModelTarget& target, const TargetBatch& batch)
{
    const TargetStatus status = statusOf(target);
    if (target.followedTerm < batch.term)
        return makeError(ResultCode::TermChanged, absl::StrCat(target.id.value(), " follows term ", target.followedTerm.value()));
    if (status.applied < batch.minimumPosition)
        return makeError(ResultCode::TargetBehind, absl::StrCat(target.id.value(), " has applied ", status.applied.value()));
    if (batch.greatestAge && status.age > *batch.greatestAge)
        return makeError(ResultCode::TargetBehind, absl::StrCat(target.id.value(), " is ", status.age.count(), " ms old"));
    auto statement = ModelStatement::parse(batch.statement);
    if (!statement.ok())
        return statement.status();
    if (!statement->isRead())
        return makeError(ResultCode::StatementFailed, "a read may not change data");
    record(target, batch, status.applied);
    return replyOf(target, statement->read(target.records));
}

absl::StatusOr<TargetReply> GroupModel::write(ModelTarget& target, const TargetBatch& batch)
{
    if (auto status = checkWritable(target, batch.term); !status.ok())
        return status;
    auto ranBefore = enterLedger(target, batch.ledgerKey);
    if (!ranBefore.ok())
        return ranBefore.status();
    if (*ranBefore)
        return replyOf(target, {}, true);
    auto statement = ModelStatement::parse(batch.statement);
    if (!statement.ok())
        return statement.status();
    ModelCommit commit;
    if (!statement->isRead())
        commit.changes.push_back(statement->change());
    commit.ledger.push_back({ batch.ledgerKey, false });
    TargetReply reply = append(target, batch, std::move(commit), { batch.ledgerKey.request });
    reply.rows = statement->read(target.records);
    return reply;
}

absl::StatusOr<TargetReply> GroupModel::settle(ModelTarget& target, const TargetBatch& batch)
{
    if (auto status = checkWritable(target, batch.term); !status.ok())
        return status;
    auto it = target.ledger.find(ledgerIndex(batch.ledgerKey));
    if (it != target.ledger.end())
        return replyOf(target, {}, !it->second.isTombstone);
    ModelCommit commit;
    commit.ledger.push_back({ batch.ledgerKey, true });
    return append(target, batch, std::move(commit), {});
}

absl::StatusOr<TargetReply> GroupModel::begin(ModelTarget& target, const TargetBatch& batch, ModelTransaction& transaction)
{
    if (auto status = checkWritable(target, batch.term); !status.ok())
        return status;
    if (transaction.isOpen)
        return makeError(ResultCode::StatementFailed, "a transaction is already open on this connection");
    transaction.isOpen = true;
    transaction.term = batch.term;
    if (batch.statement.text.empty())
        return replyOf(target);
    return proceed(target, batch, transaction);
}

absl::StatusOr<TargetReply> GroupModel::proceed(ModelTarget& target, const TargetBatch& batch, ModelTransaction& transaction)
{
    if (!transaction.isOpen)
        return makeError(ResultCode::TransactionUnknown, "no transaction is open on this connection");
    auto statement = ModelStatement::parse(batch.statement);
    if (!statement.ok()) {
        transaction = {};
        return statement.status();
    }
    transaction.requests.push_back(batch.ledgerKey.request);
    ModelRecords records = target.records;
    if (!statement->isRead())
        transaction.changes.push_back(statement->change());
    for (const auto& it : transaction.changes)
        applyChange(records, it);
    return replyOf(target, statement->read(records));
}

absl::StatusOr<TargetReply> GroupModel::commit(ModelTarget& target, const TargetBatch& batch, ModelTransaction& transaction)
{
    ModelTransaction ended;
    std::swap(ended, transaction);
    if (!ended.isOpen)
        return makeError(ResultCode::TransactionUnknown, "no transaction is open on this connection");
    if (auto status = checkWritable(target, ended.term); !status.ok())
        return status;
    auto ranBefore = enterLedger(target, batch.ledgerKey);
    if (!ranBefore.ok())
        return ranBefore.status();
    if (*ranBefore)
        return replyOf(target, {}, true);
    ModelCommit commit;
    commit.changes = std::move(ended.changes);
    commit.ledger.push_back({ batch.ledgerKey, false });
    return append(target, batch, std::move(commit), std::move(ended.requests));
}

absl::StatusOr<bool> GroupModel::enterLedger(const ModelTarget& target, const LedgerKey& key) const
{
    auto it = target.ledger.find(ledgerIndex(key));
    if (it == target.ledger.end())
        return false;
    if (it->second.isTombstone)
        return makeError(ResultCode::RequestSettled, "the request was settled as not run");
    if (it->second.key.fingerprint != key.fingerprint)
        return makeError(ResultCode::RequestIdReused, "the request id belongs to another statement");
    return true;
}

TargetReply GroupModel::append(ModelTarget& target, const TargetBatch& batch, ModelCommit commit, std::vector<RequestId> committed)
{
    commit.term = target.term;
    commit.at = m_loop.now();
    target.log.push_back(std::make_shared<const ModelCommit>(std::move(commit)));
    apply(target, target.log.size());
    record(target, batch, LogPosition(target.log.size()), std::move(committed));
    return replyOf(target);
}

TargetReply GroupModel::replyOf(const ModelTarget& target, Rows rows, bool ranBefore) const
{
    return { statusOf(target), std::move(rows), ranBefore, {} };
}

void GroupModel::record(const ModelTarget& target, const TargetBatch& batch, LogPosition position, std::vector<RequestId> committed)
{
    ModelEvent event;
    event.at = m_loop.now();
    event.target = target.id;
    event.operation = batch.operation;
    event.term = target.term;
    event.position = position;
    event.organisation = batch.ledgerKey.organisation;
    event.request = batch.ledgerKey.request;
    event.committed = std::move(committed);
    event.wasLeaving = target.isLeaving;
    m_history.push_back(std::move(event));
}

}
