#include "directory/RoutedRows.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Delay between two rounds of a search, of which each tries the direct path or a peer, or both.
    constexpr Milliseconds roundInterval { 300 };
    /// The same after the first rounds: then the platform probably answers no one.
    constexpr Milliseconds laterRoundInterval { 1000 };
    constexpr uint32_t firstRounds = 8;
    /// Peers tried in each of the first rounds. A path that is silent takes the whole timeout of a call.
    constexpr uint32_t peersPerRound = 2;
    /// A daemon that follows tables sends the next watch within this time after the last one has ended.
    constexpr Milliseconds maxWatchPause { 1000 };

    bool isAnswered(const absl::Status& status)
    {
        return status.ok() || resultCodeOf(status) != ResultCode::PlatformUnavailable;
    }

    std::pair<std::string, uint16_t> keyOf(const PlatformPathSelector::Path& path)
    {
        return { path.address.host, path.address.port };
    }

}

RoutedRows::RoutedRows(EventLoop& loop, PathRows& rows, PlatformPathSelector& paths)
    : m_loop(loop)
    , m_rows(rows)
    , m_paths(paths)
{
}

RoutedRows::~RoutedRows()
{
    m_loop.cancel(m_searchTimer);
}

template <typename Answer>
std::function<void(absl::StatusOr<Answer>)> RoutedRows::reported(const Path& path, std::function<void(absl::StatusOr<Answer>)> done)
{
    return [this, path, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<Answer>& answer) {
        if (alive.expired())
            return;
        const bool isReached = isAnswered(answer.status());
        if (answer.ok())
            m_version = std::max(m_version, answer->version);
        if (isReached)
            m_answeredAt[keyOf(path)] = m_loop.now();
        const bool isReachedAgain = m_paths.report(path, isReached, m_loop.now());
        done(answer);
        if (alive.expired())
            return;
        if (!isReached)
            return search();
        m_isSearching = false;
        m_searchRounds = 0;
        if (isReachedAgain)
            tellReachedAgain(std::max(path.chosenAt, m_paths.lastFailureAt()));
    };
}

// The direct path is tried again with a call of its own: a watch that waits for its answer would miss a change meanwhile.
PathRows::Path RoutedRows::choosePath()
{
    const Instant now = m_loop.now();
    Path path = m_paths.choose(now);
    if (!path.isDirect || path.isVerified || m_watchedTable.empty())
        return path;
    const auto peer = m_paths.verifiedPeerPath(now);
    if (!peer)
        return path;
    m_rows.watch(path, m_watchedTable, m_version, Milliseconds(0), reported<RowsAnswer>(path, [](const absl::StatusOr<RowsAnswer>&) {}));
    return *peer;
}

void RoutedRows::readAll(const std::string& table, RowsDone done)
{
    const Path path = choosePath();
    m_rows.readAll(path, table, reported<RowsAnswer>(path, std::move(done)));
    expectAnswer(path);
}

// A path that does not respond is detected only after the wait and the call timeout. A watch over a path that is not known to work
// therefore does not wait for a change.
void RoutedRows::watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone done)
{
    const Path path = choosePath();
    if (!path.isVerified)
        wait = Milliseconds(0);
    m_watchedTable = table;
    ++m_pendingWatches;
    m_rows.watch(path, table, after, wait, reported<RowsAnswer>(path, [this, done = std::move(done)](const absl::StatusOr<RowsAnswer>& answer) {
        --m_pendingWatches;
        m_watchEndedAt = m_loop.now();
        done(answer);
    }));
    if (wait == Milliseconds(0))
        expectAnswer(path);
}

void RoutedRows::transact(const RowsTransaction& transaction, TransactionDone done)
{
    const Path path = choosePath();
    m_rows.transact(path, transaction, reported<TransactionAnswer>(path, std::move(done)));
    expectAnswer(path);
}

void RoutedRows::expectAnswer(const Path& path)
{
    m_loop.after(silenceLimit, [this, path, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired() || m_answeredAt[keyOf(path)] >= path.chosenAt)
            return;
        m_paths.report(path, false, m_loop.now());
        search();
    });
}

// Watches that were sent over a silent path are answered only when they time out, so a change may be waiting already.
void RoutedRows::search()
{
    if (!std::exchange(m_isSearching, true) && m_searchTimer == TimerId::None)
        probeNextPaths();
}

void RoutedRows::probeNextPaths()
{
    m_searchTimer = TimerId::None;
    m_isSearching = m_isSearching && isFollowing();
    if (!m_isSearching)
        return;
    const bool isFirst = m_searchRounds < firstRounds;
    const Instant now = m_loop.now();
    for (uint32_t n = 0; n < (isFirst ? peersPerRound : 1); ++n) {
        if (const auto path = m_paths.nextPeerPath(now))
            probe(*path);
    }
    if (m_searchRounds % 2 == 1 || !isFirst)
        probe(m_paths.directPath(now));
    ++m_searchRounds;
    m_searchTimer = m_loop.after(isFirst ? roundInterval : laterRoundInterval, [this] { probeNextPaths(); });
}

bool RoutedRows::isFollowing() const
{
    return m_pendingWatches > 0 || m_loop.now() - m_watchEndedAt <= maxWatchPause;
}

void RoutedRows::probe(const Path& path)
{
    m_rows.watch(path, m_watchedTable, m_version, Milliseconds(0), [this, path, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        if (!alive.expired() && isAnswered(answer.status()))
            endSearch(path);
    });
}

// All watches are sent anew, over the path that was found: those that wait on others may have missed a change.
void RoutedRows::endSearch(const Path& path)
{
    m_answeredAt[keyOf(path)] = m_loop.now();
    m_searchRounds = 0;
    if (!std::exchange(m_isSearching, false))
        return;
    if (path.isDirect)
        m_paths.report(path, true, m_loop.now());
    else
        m_paths.adoptPeer(path);
    tellReachedAgain(m_loop.now());
}

}
