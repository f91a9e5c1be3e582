#include "directory/RowWatch.h"

namespace parsleypaddle {

namespace {

    /// Pause after a failed call: short against the seconds in which a change has to be in force.
    constexpr Milliseconds retryPause { 300 };

}

RowWatch::RowWatch(EventLoop& loop, PlatformRows& platform, std::string table, Milliseconds wait, Changed changed, Reached reached)
    : m_loop(loop)
    , m_platform(platform)
    , m_table(std::move(table))
    , m_wait(wait)
    , m_changed(std::move(changed))
    , m_reached(std::move(reached))
{
}

void RowWatch::start()
{
    ask();
}

void RowWatch::renew(Instant asked)
{
    if (m_asked && *m_asked < asked)
        ask();
}

void RowWatch::ask()
{
    m_asked = std::make_shared<Instant>(m_loop.now());
    if (m_isCurrent)
        watch();
    else
        readAll();
}

void RowWatch::readAll()
{
    m_platform.readAll(m_table, [this, asked = std::weak_ptr<Instant>(m_asked)](const absl::StatusOr<RowsAnswer>& answer) {
        if (asked.expired())
            return;
        answered(answer.status());
        if (!answer.ok())
            return askAfter(retryPause);
        m_rows.clear();
        for (const auto& it : answer->rows)
            m_rows[it.key] = it;
        m_version = answer->version;
        m_isKnown = true;
        m_isCurrent = true;
        m_changed(m_rows);
        ask();
    });
}

void RowWatch::watch()
{
    m_platform.watch(m_table, m_version, m_wait, [this, asked = std::weak_ptr<Instant>(m_asked)](const absl::StatusOr<RowsAnswer>& answer) {
        if (asked.expired())
            return;
        answered(answer.status());
        if (!answer.ok())
            return askAfter(retryPause);
        if (answer->isHistoryLost) {
            m_isCurrent = false;
            return ask();
        }
        for (const auto& it : answer->rows)
            take(it);
        m_version = std::max(m_version, answer->version);
        if (answer->rows.empty())
            return ask();
        m_changed(m_rows);
        askAfter(m_pause);
    });
}

void RowWatch::take(const StoredRow& row)
{
    auto it = m_rows.find(row.key);
    if (it != m_rows.end() && row.version < it->second.version)
        return;
    if (row.isDeleted)
        m_rows.erase(row.key);
    else
        m_rows[row.key] = row;
}

void RowWatch::askAfter(Milliseconds pause)
{
    if (pause == Milliseconds(0))
        return ask();
    m_loop.after(pause, [this, asked = std::weak_ptr<Instant>(m_asked)] {
        if (!asked.expired())
            ask();
    });
}

void RowWatch::answered(const absl::Status& status)
{
    const bool isReached = status.ok();
    if (isReached == !m_isLost)
        return;
    m_isLost = !isReached;
    m_reached(status);
}

}
