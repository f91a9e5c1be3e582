#include "distribution/SharedRows.h"

#include <utility>

namespace parsleypaddle {

SharedRows::SharedRows(EventLoop& loop, PlatformRows& platform, DecisionLog& log, std::string configurationTable, const std::vector<std::string>& otherTables)
    : m_loop(loop)
    , m_platform(platform)
    , m_log(log)
    , m_configurationTable(std::move(configurationTable))
    , m_platformAnsweredAt(loop.now())
    , m_configurationConfirmedAt(loop.now())
{
    m_copies[m_configurationTable];
    for (const auto& it : otherTables)
        m_copies[it];
}

void SharedRows::readAll(const std::string& table, RowsDone done)
{
    if (!isDistributed(table))
        return m_platform.readAll(table, std::move(done));
    add({ { ++m_lastId, table, m_copies[table].rows.version(), true }, {}, std::move(done) });
}

void SharedRows::watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone done)
{
    if (!isDistributed(table))
        return m_platform.watch(table, after, wait, std::move(done));
    add({ { ++m_lastId, table, after, false }, wait, std::move(done) });
}

void SharedRows::transact(const RowsTransaction& transaction, TransactionDone done)
{
    m_platform.transact(transaction, [this, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (!alive.expired() && answer.ok())
            m_platformAnsweredAt = m_loop.now();
        done(answer);
    });
}

// A table has one user, so a new request of a kind replaces the earlier one.
void SharedRows::add(Pending pending)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const bool isReplaced = it->second.request.table == pending.request.table && it->second.request.isWhole == pending.request.isWhole;
        it = isReplaced ? m_pending.erase(it) : std::next(it);
    }
    const uint64_t id = pending.request.id;
    dispatch(m_pending.emplace(id, std::move(pending)).first->second);
}

void SharedRows::usePlatform()
{
    if (m_way == Way::Platform && m_firstTable.empty())
        return;
    m_way = Way::Platform;
    m_sendToSource = nullptr;
    const std::string readSoFar = std::exchange(m_firstTable, "");
    dispatchAll(readSoFar);
}

void SharedRows::usePlatformFirstFor(const std::string& table)
{
    if (m_way != Way::None)
        return;
    m_way = Way::Platform;
    m_firstTable = table;
    dispatchAll("");
}

void SharedRows::useSource(std::function<void(const TableRequest&)> send)
{
    m_way = Way::Source;
    m_sendToSource = std::move(send);
    m_firstTable.clear();
    dispatchAll("");
}

// Sends what is still to be answered, except the requests for one table.
void SharedRows::dispatchAll(const std::string& except)
{
    // An answer may arrive at once and change the list.
    std::vector<Pending> pending;
    for (const auto& [id, it] : m_pending) {
        if (it.request.table != except)
            pending.push_back(it);
    }
    for (const auto& it : pending)
        dispatch(it);
}

void SharedRows::dispatch(const Pending& pending)
{
    if (m_way == Way::None || (!m_firstTable.empty() && pending.request.table != m_firstTable))
        return;
    if (m_way == Way::Source)
        return m_sendToSource(pending.request);
    auto done = [this, request = pending.request, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (!alive.expired())
            applyPlatformAnswer(request, answer);
    };
    if (pending.request.isWhole)
        m_platform.readAll(pending.request.table, std::move(done));
    else
        m_platform.watch(pending.request.table, pending.request.after, pending.wait, std::move(done));
}

void SharedRows::notePlatformAnswer(const std::string& table)
{
    m_platformAnsweredAt = m_loop.now();
    if (table == m_configurationTable)
        confirmConfiguration(m_loop.now());
}

void SharedRows::confirmThroughSource(Instant answeredAt)
{
    if (answeredAt > m_configurationConfirmedAt)
        confirmConfiguration(answeredAt);
}

void SharedRows::confirmConfiguration(Instant confirmedAt)
{
    m_ageBeforeConfirmation = m_loop.now() - m_configurationConfirmedAt;
    m_configurationConfirmedAt = confirmedAt;
}

void SharedRows::applyPlatformAnswer(const TableRequest& request, const absl::StatusOr<RowsAnswer>& answer)
{
    if (answer.ok()) {
        notePlatformAnswer(request.table);
        updateCopy(request, *answer);
    } else if (m_way != Way::Platform) {
        // The request was also sent to the source that is used now.
        return;
    }
    complete(request.id, answer);
}

void SharedRows::applyReply(const TableReply& reply)
{
    auto it = m_pending.find(reply.id);
    if (it == m_pending.end())
        return;
    updateCopy(it->second.request, reply.answer);
    complete(reply.id, reply.answer);
}

void SharedRows::updateCopy(const TableRequest& request, const RowsAnswer& answer)
{
    TableCopy& copy = m_copies[request.table].rows;
    if (request.isWhole) {
        if (!copy.setAll(answer))
            m_log.write("table_answer_ignored", { { "table", request.table }, { "copy_version", textOf(copy.version()) }, { "answer_version", textOf(answer.version) }, { "from", m_way == Way::Source ? "source" : "platform" } });
    } else
        copy.applyChanges(answer);
    m_copyChanged(request.table);
}

void SharedRows::complete(uint64_t id, const absl::StatusOr<RowsAnswer>& answer)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    const RowsDone done = std::move(it->second.done);
    m_pending.erase(it);
    done(answer);
}

std::optional<RowsAnswer> SharedRows::answer(const TableRequest& request)
{
    auto it = m_copies.find(request.table);
    if (it == m_copies.end() || !it->second.rows.isComplete())
        return std::nullopt;
    const TableCopy& copy = it->second.rows;
    if (copy.version() < request.after) {
        refresh(request.table, it->second);
        return std::nullopt;
    }
    if (request.isWhole)
        return copy.wholeTable();
    RowsAnswer changes = copy.changesAfter(request.after);
    if (changes.rows.empty() && !changes.isHistoryLost)
        return std::nullopt;
    return changes;
}

void SharedRows::refresh(const std::string& table, Copy& copy)
{
    if (copy.isRefreshing || m_way != Way::Platform)
        return;
    copy.isRefreshing = true;
    m_platform.watch(table, copy.rows.version(), Milliseconds(0), [this, table, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (!alive.expired())
            applyRefresh(table, false, answer);
    });
}

// The copy may be of an earlier era than the subscriber's, so that the whole table has to be read.
void SharedRows::applyRefresh(const std::string& table, bool isWhole, const absl::StatusOr<RowsAnswer>& answer)
{
    if (!isWhole && answer.ok() && answer->isHistoryLost)
        return m_platform.readAll(table, [this, table, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& whole) {
            if (!alive.expired())
                applyRefresh(table, true, whole);
        });
    m_copies[table].isRefreshing = false;
    if (!answer.ok())
        return;
    notePlatformAnswer(table);
    updateCopy({ 0, table, RowVersion(), isWhole }, *answer);
}

}
