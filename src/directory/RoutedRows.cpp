#include "directory/RoutedRows.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    bool isAnswered(const absl::Status& status)
    {
        return status.ok() || resultCodeOf(status) != ResultCode::PlatformUnavailable;
    }

}

RoutedRows::RoutedRows(EventLoop& loop, PathRows& rows, PlatformPathSelector& paths)
    : m_loop(loop)
    , m_rows(rows)
    , m_paths(paths)
{
}

template <typename Answer>
std::function<void(absl::StatusOr<Answer>)> RoutedRows::reported(const Path& path, std::function<void(absl::StatusOr<Answer>)> done)
{
    return [this, path, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<Answer>& answer) {
        if (alive.expired())
            return;
        const bool isReachedAgain = m_paths.report(path, isAnswered(answer.status()), m_loop.now());
        done(answer);
        if (isReachedAgain && !alive.expired())
            tellReachedAgain(std::max(path.chosenAt, m_paths.lastFailureAt()));
    };
}

void RoutedRows::readAll(const std::string& table, RowsDone done)
{
    const Path path = m_paths.choose(m_loop.now());
    m_rows.readAll(path, table, reported<RowsAnswer>(path, std::move(done)));
}

// A path that does not respond is detected only after the wait and the call timeout. A watch over a path that is not known to work
// therefore does not wait for a change.
void RoutedRows::watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone done)
{
    const Path path = m_paths.choose(m_loop.now());
    m_rows.watch(path, table, after, path.isVerified ? wait : Milliseconds(0), reported<RowsAnswer>(path, std::move(done)));
}

void RoutedRows::transact(const RowsTransaction& transaction, TransactionDone done)
{
    const Path path = m_paths.choose(m_loop.now());
    m_rows.transact(path, transaction, reported<TransactionAnswer>(path, std::move(done)));
}

}
