#pragma once

#include "base/EventLoop.h"
#include "directory/PlatformPathSelector.h"
#include "platform_ports/PlatformPorts.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace parsleypaddle {

/// Sends calls to the platform's tables over a given path. Each call is answered within its own timeout. The error PlatformUnavailable says
/// that the platform did not answer on the path or refused the call; any other error comes with an answer.
class PathRows {
public:
    using Path = PlatformPathSelector::Path;

    virtual ~PathRows() = default;

    virtual void readAll(const Path&, const std::string& table, PlatformRows::RowsDone) = 0;
    virtual void watch(const Path&, const std::string& table, RowVersion after, Milliseconds wait, PlatformRows::RowsDone) = 0;
    virtual void transact(const Path&, const RowsTransaction&, PlatformRows::TransactionDone) = 0;
};

/// Calls the platform's tables over the paths that a PlatformPathSelector chooses, and reports the results to it. A path that leaves a call
/// without an answer counts as failed before the call has timed out. While a watch is pending then, this looks for another path: it makes
/// small calls over the direct path and through one peer after the other, until one is answered.
class RoutedRows final : public PlatformRows {
public:
    /// A call that takes longer, without an answer to another call on its path meanwhile, makes the path a failed one.
    static constexpr Milliseconds silenceLimit { 450 };

    /// The arguments must outlive this object.
    RoutedRows(EventLoop&, PathRows&, PlatformPathSelector&);
    ~RoutedRows() override;

    void readAll(const std::string& table, RowsDone) override;
    void watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone) override;
    void transact(const RowsTransaction&, TransactionDone) override;

private:
    using Path = PathRows::Path;

    /// Reports the result of a call on the path before it passes it on.
    template <typename Answer>
    std::function<void(absl::StatusOr<Answer>)> reported(const Path&, std::function<void(absl::StatusOr<Answer>)> done);
    Path choosePath();
    /// Checks after the silence limit whether anything was answered on the path since now.
    void expectAnswer(const Path&);
    void search();
    /// Whether the user of this object follows tables, so that it misses changes while no path works.
    bool isFollowing() const;
    void probeNextPaths();
    void probe(const Path&);
    void endSearch(const Path&);

    EventLoop& m_loop;
    PathRows& m_rows;
    PlatformPathSelector& m_paths;
    /// When the platform last answered on each path, by its address.
    std::map<std::pair<std::string, uint16_t>, Instant> m_answeredAt;
    /// The newest version that an answer has told.
    RowVersion m_version;
    /// The table of the last watch, of which probes ask for changes.
    std::string m_watchedTable;
    size_t m_pendingWatches { 0 };
    Instant m_watchEndedAt;
    bool m_isSearching { false };
    uint32_t m_searchRounds { 0 };
    TimerId m_searchTimer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
