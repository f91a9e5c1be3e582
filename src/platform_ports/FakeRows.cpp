#include "platform_ports/FakeRows.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds callTimeout { 900 };

    absl::Status noAnswer()
    {
        return makeError(ResultCode::PlatformUnavailable, "no answer");
    }

}

void FakeTables::put(const std::string& table, const std::string& key, const std::string& value)
{
    RowsTransaction transaction;
    transaction.writes.push_back({ table, key, value });
    apply(transaction);
}

void FakeTables::remove(const std::string& table, const std::string& key)
{
    RowsTransaction transaction;
    transaction.removals.push_back({ table, key });
    apply(transaction);
}

const std::string* FakeTables::find(const std::string& table, const std::string& key) const
{
    auto it = m_rows.find({ table, key });
    return it == m_rows.end() || it->second.isDeleted ? nullptr : &it->second.value;
}

FakeTables::Copy FakeTables::copy() const
{
    return { m_rows, m_version.number() };
}

void FakeTables::restore(const Copy& copy)
{
    m_rows = copy.rows;
    m_version = RowVersion(m_version.era().next(), copy.version);
    notify();
}

void FakeTables::forgetHistory()
{
    m_historyFrom = m_version.number();
    notify();
}

RowVersion FakeTables::versionOf(const Name& name) const
{
    auto it = m_rows.find(name);
    return it == m_rows.end() || it->second.isDeleted ? inPresentEra(0) : inPresentEra(it->second.version);
}

TransactionAnswer FakeTables::apply(const RowsTransaction& transaction)
{
    TransactionAnswer answer;
    answer.platformTime = time();
    answer.isApplied = std::all_of(transaction.expected.begin(), transaction.expected.end(), [this](const RowExpectation& it) { return versionOf({ it.table, it.key }).number() == it.version.number(); });
    answer.version = m_version;
    if (!answer.isApplied) {
        for (const auto& it : transaction.expected) {
            if (versionOf({ it.table, it.key }).number() != 0)
                answer.rows.push_back({ it.table, it.key, m_rows[{ it.table, it.key }].value, versionOf({ it.table, it.key }) });
        }
        return answer;
    }
    m_version = m_version.next();
    answer.version = m_version;
    for (const auto& it : transaction.writes)
        m_rows[{ it.table, it.key }] = { it.value, m_version.number(), false };
    for (const auto& it : transaction.removals)
        m_rows[{ it.table, it.key }] = { "", m_version.number(), true };
    notify();
    return answer;
}

RowsAnswer FakeTables::readAll(const std::string& table) const
{
    RowsAnswer answer;
    answer.version = m_version;
    answer.platformTime = time();
    for (const auto& [name, row] : m_rows) {
        if (name.first == table && !row.isDeleted)
            answer.rows.push_back({ table, name.second, row.value, inPresentEra(row.version) });
    }
    return answer;
}

RowsAnswer FakeTables::changes(const std::string& table, RowVersion after) const
{
    RowsAnswer answer;
    answer.version = m_version;
    answer.platformTime = time();
    answer.isHistoryLost = after.era() != m_version.era() || after.number() < m_historyFrom;
    for (const auto& [name, row] : m_rows) {
        if (name.first == table && inPresentEra(row.version) > after)
            answer.rows.push_back({ table, name.second, row.value, inPresentEra(row.version), row.isDeleted });
    }
    std::sort(answer.rows.begin(), answer.rows.end(), [](const StoredRow& a, const StoredRow& b) { return a.version < b.version; });
    return answer;
}

void FakeTables::notify()
{
    const auto watchers = std::exchange(m_watchers, {});
    for (const auto& weak : watchers) {
        if (auto watcher = weak.lock())
            (*watcher)();
    }
}

FakeRows::FakeRows(EventLoop& loop, FakeTables& tables)
    : m_loop(loop)
    , m_tables(tables)
{
}

template <typename Answer>
std::function<void(absl::StatusOr<Answer>)> FakeRows::noted(std::function<void(absl::StatusOr<Answer>)> done)
{
    return [this, done = std::move(done), sent = m_loop.now(), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<Answer>& answer) {
        if (alive.expired())
            return;
        // The answer to a call that was sent before the last failure, such as a watch, does not show that later ones arrive.
        const bool wasLost = m_lostAt && answer.ok() && sent >= *m_lostAt;
        if (!answer.ok())
            m_lostAt = m_loop.now();
        else if (wasLost)
            m_lostAt.reset();
        if (answer.ok() && std::exchange(m_era, std::max(m_era, answer->version.era())) < answer->version.era())
            tellEraChanged(m_era);
        done(answer);
        if (wasLost)
            tellReachedAgain(sent);
    };
}

void FakeRows::afterTransfer(const std::vector<StoredRow>& rows, std::function<void()> task)
{
    if (bytesPerSecond == 0)
        return task();
    constexpr double bytesPerAnswer = 300;
    constexpr double bytesPerRow = 150;
    constexpr double millisecondsPerSecond = 1000;
    double bytes = bytesPerAnswer;
    for (const auto& it : rows)
        bytes += bytesPerRow + static_cast<double>(it.value.size());
    m_linkFreeAt = std::max(m_linkFreeAt, m_loop.now()) + Milliseconds(bytes / bytesPerSecond * millisecondsPerSecond);
    m_loop.after(m_linkFreeAt - m_loop.now(), [task = std::move(task), alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            task();
    });
}

void FakeRows::readAll(const std::string& table, RowsDone unnoted)
{
    ++calls;
    const RowsDone done = noted<RowsAnswer>(std::move(unnoted));
    if (isCut) {
        m_loop.after(callTimeout, [done] { done(noAnswer()); });
        return;
    }
    m_loop.after(callTime, [this, table, done, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired())
            return;
        const RowsAnswer answer = m_tables.readAll(table);
        afterTransfer(answer.rows, [done, answer] { done(answer); });
    });
}

void FakeRows::transact(const RowsTransaction& transaction, TransactionDone unnoted)
{
    ++calls;
    const TransactionDone done = noted<TransactionAnswer>(std::move(unnoted));
    const bool isLost = isCut || losesAnswers || appliesLate > Milliseconds(0);
    if (!isCut) {
        m_loop.after(callTime + appliesLate, [this, transaction, done, isLost, alive = std::weak_ptr<bool>(m_alive)] {
            const TransactionAnswer answer = m_tables.apply(transaction);
            if (!isLost && !alive.expired())
                afterTransfer(answer.rows, [done, answer] { done(answer); });
        });
    }
    if (isLost)
        m_loop.after(callTimeout, [done] { done(noAnswer()); });
}

/// A watch that waits for a change.
struct FakeRows::Watch {
    RowsDone done;
    std::shared_ptr<std::function<void()>> notified;
};

void FakeRows::watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone unnoted)
{
    ++calls;
    RowsDone done = noted<RowsAnswer>(std::move(unnoted));
    // Silence shows only when the wait is over.
    if (isCut) {
        m_loop.after(wait + callTimeout, [done] { done(noAnswer()); });
        return;
    }
    auto watch = std::make_shared<Watch>();
    watch->done = std::move(done);
    const Instant timeoutAt = m_loop.now() + wait + callTimeout;
    watch->notified = std::make_shared<std::function<void()>>();
    const auto answer = [this, table, after, timeoutAt, weak = std::weak_ptr<bool>(m_alive)](const std::shared_ptr<Watch>& it) {
        if (weak.expired())
            return;
        auto function = std::exchange(it->done, nullptr);
        if (function && losesWatchAnswers)
            m_loop.after(timeoutAt - m_loop.now(), [function] { function(noAnswer()); });
        else if (function)
            m_loop.after(callTime, [this, table, after, weak, function] {
                if (weak.expired())
                    return;
                const auto changes = isCut ? absl::StatusOr<RowsAnswer>(noAnswer()) : m_tables.changes(table, after);
                afterTransfer(changes.ok() ? changes->rows : std::vector<StoredRow>(), [function, changes] { function(changes); });
            });
    };
    std::weak_ptr<Watch> weakWatch = watch;
    *watch->notified = [this, table, after, answer, weakWatch] {
        auto it = weakWatch.lock();
        if (!it)
            return;
        const RowsAnswer changes = m_tables.changes(table, after);
        if (!changes.rows.empty() || changes.isHistoryLost)
            answer(it);
        else
            m_tables.m_watchers.push_back(it->notified);
    };
    (*watch->notified)();
    m_loop.after(wait, [watch, answer] { answer(watch); });
}

}
