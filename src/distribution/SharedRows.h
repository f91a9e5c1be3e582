#pragma once

#include "base/EventLoop.h"
#include "distribution/SourceMessages.h"
#include "distribution/TableCopy.h"
#include "telemetry/DecisionLog.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace parsleypaddle {

/// Reads the distributed tables from the platform or from a source, another daemon that reads them from the platform. The users
/// of this object do not notice a change between the two, because its answers never return to an older state. Transactions and other
/// tables always go to the platform.
class SharedRows final : public PlatformRows {
public:
    /// Until usePlatform() or useSource() is called, reads wait.
    /// `configurationTable` and `otherTables` are the distributed ones.
    SharedRows(EventLoop&, PlatformRows& platform, DecisionLog&, std::string configurationTable, const std::vector<std::string>& otherTables);

    void readAll(const std::string& table, RowsDone) override;
    void watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone) override;
    void transact(const RowsTransaction&, TransactionDone) override;

    /// Reads from the platform from now on, including what is still to be answered.
    void usePlatform();
    /// The same for one table. Reads of the others wait until usePlatform() or useSource() is called. Has no effect once a way to
    /// read is in use.
    void usePlatformFirstFor(const std::string& table);
    /// Reads from a source from now on, including what is still to be answered. `send` sends it a request, which
    /// applyReply() answers. To be called again for another source.
    void useSource(std::function<void(const TableRequest&)> send);
    bool isUsingPlatform() const { return m_way == Way::Platform; }
    void applyReply(const TableReply&);

    /// Whether the table is one of those that are distributed.
    bool isDistributed(const std::string& table) const { return m_copies.count(table) > 0; }
    /// Answers a subscriber's request from the copy; nullopt if there is nothing to answer yet. If the subscriber knows a newer
    /// version than this daemon, the platform is asked for it.
    std::optional<RowsAnswer> answer(const TableRequest&);
    /// The version of the copy of a table that is distributed. Answers of the same version are the same.
    RowVersion copyVersion(const std::string& table) const { return m_copies.at(table).rows.version(); }
    /// Sets the function that is called when answer() may have an answer for a request for the table.
    void onCopyChanged(std::function<void(const std::string& table)> callback) { m_copyChanged = std::move(callback); }

    /// Time since the platform last answered this daemon.
    Milliseconds platformAge() const { return m_loop.now() - m_platformAnsweredAt; }

    /// Notes that the platform answered the source's request for the configuration at the given time.
    void confirmThroughSource(Instant answeredAt);
    /// Time since the platform last answered a request for the configuration of this daemon or its source: changes made before are known
    /// here, or on their way. An answer to another call says nothing, because the response that reports a change may be lost.
    Milliseconds confirmationAge() const { return m_loop.now() - m_configurationConfirmedAt; }
    /// The age just before the last confirmation: for how long a change that the confirming answer brought can have been missing here.
    Milliseconds ageBeforeConfirmation() const { return m_ageBeforeConfirmation; }

private:
    enum class Way {
        None,
        Platform,
        Source,
    };

    struct Copy {
        TableCopy rows;
        bool isRefreshing { false };
    };

    /// A read or watch that is not answered yet.
    struct Pending {
        TableRequest request;
        Milliseconds wait;
        RowsDone done;
    };

    void add(Pending);
    void dispatch(const Pending&);
    void dispatchAll(const std::string& except);
    void complete(uint64_t id, const absl::StatusOr<RowsAnswer>&);
    void notePlatformAnswer(const std::string& table);
    void confirmConfiguration(Instant);
    void applyPlatformAnswer(const TableRequest&, const absl::StatusOr<RowsAnswer>&);
    void updateCopy(const TableRequest&, const RowsAnswer&);
    void refresh(const std::string& table, Copy&);
    void applyRefresh(const std::string& table, bool isWhole, const absl::StatusOr<RowsAnswer>&);

    EventLoop& m_loop;
    PlatformRows& m_platform;
    DecisionLog& m_log;
    std::string m_configurationTable;
    Way m_way { Way::None };
    /// The only table that is read now; empty for all.
    std::string m_firstTable;
    std::function<void(const TableRequest&)> m_sendToSource;
    std::map<std::string, Copy> m_copies;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_lastId { 0 };
    Instant m_platformAnsweredAt;
    Instant m_configurationConfirmedAt;
    Milliseconds m_ageBeforeConfirmation;
    std::function<void(const std::string&)> m_copyChanged { [](const std::string&) {} };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
