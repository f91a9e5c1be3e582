#pragma once

#include "base/EventLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// The platform's tables for tests: linearizable rows with versions and watches.
class FakeTables {
public:
    explicit FakeTables(EventLoop& loop)
        : m_loop(loop)
    {
    }

    /// Writes a row as operators and targets do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    const std::string* find(const std::string& table, const std::string& key) const;

    /// The newest version of all rows.
    RowVersion version() const { return m_version; }

    /// The platform's clock.
    Instant time() const { return Instant(m_loop.now().sinceEpoch() - clockOffset); }

    /// The rows as of one moment.
    struct Copy;
    Copy copy() const;
    /// Returns to a copy: an era begins, later writes are lost, and their version numbers are given out again.
    void restore(const Copy&);

    /// Leaves the watches that wait now without an answer before their wait is over.
    void dropWatches() { m_watchers.clear(); }

    /// Forgets which rows changed when, so that watches have to read anew.
    void forgetHistory();

private:
    friend class FakeRows;

    struct Row {
        std::string value;
        /// The number of its version. All rows are told with the present era.
        uint64_t version { 0 };
        bool isDeleted { false };
    };
    using Name = std::pair<std::string, std::string>;

    RowVersion versionOf(const Name&) const;
    RowVersion inPresentEra(uint64_t number) const { return { m_version.era(), number }; }
    TransactionAnswer apply(const RowsTransaction&);
    RowsAnswer readAll(const std::string& table) const;
    RowsAnswer changes(const std::string& table, RowVersion after) const;
    void notify();

    /// The platform's clock has a zero of its own.
    static constexpr double clockOffset = 1'600'000'000'000.0;

    EventLoop& m_loop;
    std::map<Name, Row> m_rows;
    RowVersion m_version { firstEra, 1 };
    uint64_t m_historyFrom { 0 };
    std::vector<std::weak_ptr<std::function<void()>>> m_watchers;
};

struct FakeTables::Copy {
    std::map<Name, Row> rows;
    uint64_t version;
};

/// One daemon's way to the tables, with faults.
class FakeRows final : public PlatformRows {
public:
    FakeRows(EventLoop&, FakeTables&);

    void readAll(const std::string& table, RowsDone) override;
    void watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone) override;
    void transact(const RowsTransaction&, TransactionDone) override;

    /// Nothing arrives and nothing is answered.
    bool isCut { false };
    /// Transactions are applied, and their answers are lost.
    bool losesAnswers { false };
    /// The answers to watches are lost, also to those that wait already. Other calls are answered.
    bool losesWatchAnswers { false };
    /// Transactions are applied so much later, if their conditions still hold then, and their answers are lost.
    Milliseconds appliesLate;
    /// How long a call takes that does not wait for a change.
    Milliseconds callTime { 4 };
    /// Bandwidth of the daemon's link, over which answers arrive one after the other; 0 for unlimited.
    double bytesPerSecond { 0 };
    /// Calls sent so far, including those that were not answered.
    uint64_t calls { 0 };

private:
    /// Calls `task` when an answer with these rows has arrived.
    void afterTransfer(const std::vector<StoredRow>&, std::function<void()> task);

    struct Watch;

    /// The answer's way back, which notes whether the platform is lost.
    template <typename Answer>
    std::function<void(absl::StatusOr<Answer>)> noted(std::function<void(absl::StatusOr<Answer>)>);

    EventLoop& m_loop;
    FakeTables& m_tables;
    /// When a call last failed, until one that was sent later is answered.
    std::optional<Instant> m_lostAt;
    PlatformEra m_era { firstEra };
    Instant m_linkFreeAt;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
