#include "directory/TableWatch.h"

#include "directory/WatchTimes.h"

namespace parsleypaddle {

TableWatch::TableWatch(EventLoop& loop, PlatformRows& platform, std::string table, Milliseconds watchTimeout, Changed changed, ReachabilityChanged reachabilityChanged)
    : m_loop(loop)
    , m_platform(platform)
    , m_table(std::move(table))
    , m_watchTimeout(watchTimeout)
    , m_changed(std::move(changed))
    , m_reachabilityChanged(std::move(reachabilityChanged))
{
}

void TableWatch::start()
{
    sendRequest();
}

// The request that takes its place is answered at once, so that the table is known as of now.
void TableWatch::replaceOlderRequest(Instant answeredCallSentAt)
{
    if (m_requestSentAt && *m_requestSentAt < answeredCallSentAt)
        sendRequest(Milliseconds(0));
}

void TableWatch::beginEra(PlatformEra era)
{
    if (!m_isHistoryAvailable || m_version.era() >= era)
        return;
    m_isHistoryAvailable = false;
    sendRequest();
}

void TableWatch::sendRequest()
{
    sendRequest(m_watchTimeout);
}

void TableWatch::sendRequest(Milliseconds wait)
{
    m_requestSentAt = std::make_shared<Instant>(m_loop.now());
    if (m_isHistoryAvailable)
        watchChanges(wait);
    else
        readTable();
}

void TableWatch::readTable()
{
    m_platform.readAll(m_table, [this, request = std::weak_ptr<Instant>(m_requestSentAt)](const absl::StatusOr<RowsAnswer>& answer) {
        if (request.expired())
            return;
        reportReachability(answer.status());
        // An answer of an earlier era may arrive late.
        if (!answer.ok() || answer->version < m_version)
            return sendRequestAfter(watchRetryDelay);
        m_rows.clear();
        for (const auto& it : answer->rows)
            m_rows[it.key] = it;
        m_version = answer->version;
        m_wasRead = true;
        m_isHistoryAvailable = true;
        m_changed(m_rows);
        sendRequest();
    });
}

void TableWatch::watchChanges(Milliseconds wait)
{
    m_platform.watch(m_table, m_version, wait, [this, request = std::weak_ptr<Instant>(m_requestSentAt)](const absl::StatusOr<RowsAnswer>& answer) {
        if (request.expired())
            return;
        reportReachability(answer.status());
        if (!answer.ok())
            return sendRequestAfter(watchRetryDelay);
        if (answer->isHistoryLost) {
            m_isHistoryAvailable = false;
            return sendRequest();
        }
        for (const auto& it : answer->rows)
            applyRow(it);
        m_version = std::max(m_version, answer->version);
        if (answer->rows.empty())
            return sendRequest();
        m_changed(m_rows);
        sendRequestAfter(m_changeDelay);
    });
}

void TableWatch::applyRow(const StoredRow& row)
{
    auto it = m_rows.find(row.key);
    if (it != m_rows.end() && row.version < it->second.version)
        return;
    if (row.isDeleted)
        m_rows.erase(row.key);
    else
        m_rows[row.key] = row;
}

void TableWatch::sendRequestAfter(Milliseconds delay)
{
    if (delay == Milliseconds(0))
        return sendRequest();
    m_loop.after(delay, [this, request = std::weak_ptr<Instant>(m_requestSentAt)] {
        if (!request.expired())
            sendRequest();
    });
}

void TableWatch::reportReachability(const absl::Status& status)
{
    const bool isReachable = status.ok();
    if (isReachable == !m_isUnreachable)
        return;
    m_isUnreachable = !isReachable;
    m_reachabilityChanged(status);
}

}
