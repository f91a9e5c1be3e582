#include "checking/Checker.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// How often the surviving log holds each value.
    using Survivors = std::map<std::string, uint64_t>;

    struct Run {
        const CallerHistory& history;
        const std::vector<ModelEvent>& events;
        std::vector<ModelCommit> log;
        Survivors survivors;
        std::map<std::string, std::string> transactionOfValue;
        std::map<std::string, std::set<std::string>> valuesOfTransaction;
    };

    bool isAcknowledged(const CallerRequest& request)
    {
        return request.answer && request.answer->outcome() == Outcome::Done;
    }

    bool isToldNotRun(const CallerRequest& request)
    {
        return request.answer && request.answer->outcome() == Outcome::NotRun;
    }

    // The values that a request's own outcome stands for: a commit stands for all of its transaction.
    std::set<std::string> valuesOf(const Run& run, const CallerRequest& request)
    {
        if (request.operation == CallerOperation::Write)
            return { request.value };
        if (request.operation != CallerOperation::Commit)
            return {};
        auto it = run.valuesOfTransaction.find(request.transaction);
        return it == run.valuesOfTransaction.end() ? std::set<std::string>() : it->second;
    }

    Run prepare(const CallerHistory& history, GroupModel& model)
    {
        Run run { history, model.history(), model.survivingLog(), {}, {}, {} };
        for (const auto& commit : run.log) {
            for (const auto& it : commit.changes)
                ++run.survivors[it.value];
        }
        for (const auto& it : history.requests) {
            if (it.operation != CallerOperation::TransactionStatement)
                continue;
            run.transactionOfValue[it.value] = it.transaction;
            if (isAcknowledged(it))
                run.valuesOfTransaction[it.transaction].insert(it.value);
        }
        return run;
    }

    uint64_t countDoubled(const Run& run)
    {
        const auto n = std::count_if(run.survivors.begin(), run.survivors.end(), [](const auto& it) { return it.second > 1; });
        return static_cast<uint64_t>(n);
    }

    // The ledger's key is the request's id, or begins with it.
    bool belongsTo(const RequestId& committed, const RequestId& request)
    {
        return committed.value().compare(0, request.value().size(), request.value()) == 0;
    }

    void checkWrite(const Run& run, const CallerRequest& request, CheckerCounts& counts)
    {
        for (const auto& value : valuesOf(run, request)) {
            const bool hasSurvived = run.survivors.count(value) > 0;
            counts.lost += isAcknowledged(request) && !hasSurvived ? 1 : 0;
            counts.falseNotRun += isToldNotRun(request) && hasSurvived ? 1 : 0;
        }
    }

    bool wasReplaced(const Run& run, const ModelEvent& commit)
    {
        return std::any_of(run.events.begin(), run.events.end(), [&commit](const ModelEvent& it) {
            return it.operation == TargetOperation::Promote && it.term > commit.term && it.at < commit.at;
        });
    }

    bool isCommit(const ModelEvent& event)
    {
        return event.operation == TargetOperation::Write || event.operation == TargetOperation::Commit;
    }

    /// For each committed request, whether only replaced primaries committed it.
    std::map<std::string, bool> findCommittedByReplaced(const Run& run)
    {
        std::map<std::string, bool> found;
        for (const auto& it : run.events) {
            if (!isCommit(it))
                continue;
            const bool replaced = wasReplaced(run, it);
            auto [entry, isNew] = found.emplace(it.request.value(), replaced);
            entry->second = entry->second && replaced;
        }
        return found;
    }

    // Whether the target was the latest one promoted at some moment of the request. Without a promotion any may be.
    bool wasLatestPrimaryDuring(const Run& run, const CallerRequest& request)
    {
        const ModelEvent* latest = nullptr;
        bool isFound = false;
        for (const auto& it : run.events) {
            if (it.operation != TargetOperation::Promote || it.at > request.answeredAt)
                continue;
            if (latest && latest->term > it.term)
                continue;
            if (it.at > request.sentAt && (!latest || latest->target == request.answer->target))
                isFound = true;
            latest = &it;
        }
        return isFound || !latest || latest->target == request.answer->target;
    }

    // An answer from the ledger is the word of the primary that gave it, which may have taken over what a replaced
    // one had committed without acknowledging it.
    uint64_t countAckedByReplaced(const Run& run)
    {
        const auto byReplaced = findCommittedByReplaced(run);
        uint64_t n = 0;
        for (const auto& request : run.history.requests) {
            const bool isWrite = request.operation == CallerOperation::Write || request.operation == CallerOperation::Commit;
            if (!isWrite || !isAcknowledged(request))
                continue;
            auto it = byReplaced.lower_bound(request.id.value());
            const bool isByReplaced = it != byReplaced.end() && belongsTo(RequestId(it->first), request.id) && it->second;
            const bool isTakenOver = request.answer->code == ResultCode::DoneEarlier && wasLatestPrimaryDuring(run, request);
            n += isByReplaced && !isTakenOver ? 1 : 0;
        }
        return n;
    }

    void checkRead(const CallerRequest& request, CheckerCounts& counts)
    {
        if (request.operation != CallerOperation::Read || !isAcknowledged(request))
            return;
        const auto& rows = request.answer->rows.values;
        const bool isEmpty = rows.empty() || rows.front().empty() || !rows.front().front();
        if (isEmpty) {
            counts.staleSessionReads += request.acknowledgedBefore > 0 ? 1 : 0;
            return;
        }
        const auto n = numberOf(request.session, *rows.front().front());
        counts.foreignAnswers += n ? 0 : 1;
        counts.staleSessionReads += n && *n < request.acknowledgedBefore ? 1 : 0;
    }

    uint64_t countMixed(const Run& run)
    {
        uint64_t n = 0;
        for (const auto& commit : run.log) {
            std::set<std::string> transactions;
            std::set<std::string> values;
            for (const auto& it : commit.changes) {
                auto transaction = run.transactionOfValue.find(it.value);
                transactions.insert(transaction == run.transactionOfValue.end() ? std::string() : transaction->second);
                values.insert(it.value);
            }
            if (transactions.empty())
                continue;
            const auto whole = run.valuesOfTransaction.find(*transactions.begin());
            const bool isPartial = whole != run.valuesOfTransaction.end()
                && !std::includes(values.begin(), values.end(), whole->second.begin(), whole->second.end());
            n += transactions.size() > 1 || isPartial ? 1 : 0;
        }
        return n;
    }

    uint64_t countWorkToLeaving(const Run& run, Milliseconds limit)
    {
        uint64_t n = 0;
        for (const auto& it : run.events) {
            auto leaving = run.history.leavingSince.find(it.target);
            const bool isWork = it.operation == TargetOperation::Read || it.operation == TargetOperation::Write;
            n += isWork && it.wasLeaving && leaving != run.history.leavingSince.end() && it.at - leaving->second > limit ? 1 : 0;
        }
        return n;
    }

}

uint64_t CheckerCounts::total() const
{
    uint64_t sum = 0;
    for (const auto& it : checkerCountFields())
        sum += this->*it.count;
    return sum;
}

const std::array<CheckerCountField, 9>& checkerCountFields()
{
    static const std::array<CheckerCountField, 9> fields { {
        { "doubled", &CheckerCounts::doubled },
        { "lost", &CheckerCounts::lost },
        { "stale_session_reads", &CheckerCounts::staleSessionReads },
        { "acked_by_replaced", &CheckerCounts::ackedByReplaced },
        { "false_not_run", &CheckerCounts::falseNotRun },
        { "mixed_transactions", &CheckerCounts::mixedTransactions },
        { "work_to_leaving", &CheckerCounts::workToLeaving },
        { "foreign_answers", &CheckerCounts::foreignAnswers },
        { "unanswered", &CheckerCounts::unanswered },
    } };
    return fields;
}

CheckerCounts Checker::check(const CallerHistory& history, GroupModel& model) const
{
    const Run run = prepare(history, model);
    CheckerCounts counts;
    counts.doubled = countDoubled(run);
    counts.ackedByReplaced = countAckedByReplaced(run);
    counts.mixedTransactions = countMixed(run);
    counts.unanswered = history.unanswered;
    counts.workToLeaving = countWorkToLeaving(run, m_leavingLimit);
    for (const auto& it : history.requests) {
        checkWrite(run, it, counts);
        checkRead(it, counts);
    }
    return counts;
}

}
