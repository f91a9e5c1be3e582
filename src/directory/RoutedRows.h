#pragma once

#include "base/EventLoop.h"
#include "directory/PlatformPathSelector.h"
#include "platform_ports/PlatformPorts.h"

#include <memory>

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

/// Calls the platform's tables over the paths that a PlatformPathSelector chooses, and reports the results to it.
class RoutedRows final : public PlatformRows {
public:
    /// All arguments must outlive this object.
    RoutedRows(EventLoop&, PathRows&, PlatformPathSelector&);

    void readAll(const std::string& table, RowsDone) override;
    void watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone) override;
    void transact(const RowsTransaction&, TransactionDone) override;

private:
    using Path = PathRows::Path;

    /// Reports the result of a call on the path before it passes it on.
    template <typename Answer>
    std::function<void(absl::StatusOr<Answer>)> reported(const Path&, std::function<void(absl::StatusOr<Answer>)> done);

    EventLoop& m_loop;
    PathRows& m_rows;
    PlatformPathSelector& m_paths;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
