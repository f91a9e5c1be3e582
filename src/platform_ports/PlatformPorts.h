#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "platform_ports/RowVersion.h"

#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A row of the platform's table. The etag changes with each write of the row.
struct TableRow {
    std::string value;
    std::string etag;
};

/// The platform's transactional table. Every call answers within its own timeout.
/// PlatformUnavailable on a write means that its effect is unknown.
class PlatformTable {
public:
    using ReadDone = std::function<void(absl::StatusOr<std::optional<TableRow>>)>;
    using WriteDone = std::function<void(absl::StatusOr<TableRow>)>;

    virtual ~PlatformTable() = default;

    /// Reads a row; nullopt when there is none.
    virtual void read(const std::string& key, ReadDone) = 0;

    /// Writes a row if its etag is still `expected`; an empty one expects no row.
    /// ConfigurationConflict when another write came first.
    virtual void write(const std::string& key, const std::string& value, const std::string& expected, WriteDone) = 0;
};

/// The platform's object store: immutable bodies under names chosen by the writer.
class PlatformObjects {
public:
    using GetDone = std::function<void(absl::StatusOr<std::optional<std::string>>)>;
    using PutDone = std::function<void(absl::Status)>;

    virtual ~PlatformObjects() = default;
    virtual void get(const std::string& name, GetDone) = 0;
    virtual void put(const std::string& name, const std::string& body, PutDone) = 0;
};

/// One entry of the platform's list of instances.
struct InstanceEntry {
    InstanceId instance;
    FailureDomainId failureDomain;
    /// IP number and port of its caller and peer interface.
    std::string host;
    uint16_t port { 0 };
    /// Port of its control interface (JSON-RPC).
    uint16_t controlPort { 0 };
    bool isLeaving { false };
    /// Processor cores that it may use; 0 if it does not announce them.
    double cores { 0 };
    /// Bandwidth of its link in Mbit/s; 0 if it does not announce it.
    double linkMbps { 0 };
};

/// The platform's list of live and leaving instances and of leaving targets. It lags.
struct PlatformList {
    std::vector<InstanceEntry> instances;
    std::vector<TargetId> leavingTargets;
};

/// Reads that list. PlatformUnavailable when it did not answer in time.
class PlatformInstanceList {
public:
    using ListDone = std::function<void(absl::StatusOr<PlatformList>)>;

    virtual ~PlatformInstanceList() = default;
    virtual void list(ListDone) = 0;
};

/// One row of a table of the platform.
struct StoredRow {
    std::string table;
    std::string key;
    std::string value;
    RowVersion version;
    /// Told by a watch: the row is gone.
    bool isDeleted { false };
};

/// Rows as of one moment.
struct RowsAnswer {
    std::vector<StoredRow> rows;
    /// The newest version of any table at that moment.
    RowVersion version;
    /// The platform's own steady clock at that moment.
    Instant platformTime;
    /// Told to a watch: the changes since the version asked for are forgotten, or the version is of another era, and the table has to be
    /// read again.
    bool isHistoryLost { false };
};

/// The version that a row must have for a transaction to be applied. The platform compares the number only; see eraFence().
struct RowExpectation {
    std::string table;
    std::string key;
    RowVersion version;
};

/// A row to be written.
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
};

/// A row to be removed.
struct RowRemoval {
    std::string table;
    std::string key;
};

/// Changes that are applied all together, or not at all.
struct RowsTransaction {
    std::vector<RowExpectation> expected;
    std::vector<RowWrite> writes;
    std::vector<RowRemoval> removals;
};

/// The outcome of a transaction that the platform decided on.
struct TransactionAnswer {
    /// False when a row had another version than expected; `rows` then holds the present ones.
    bool isApplied { false };
    RowVersion version;
    Instant platformTime;
    std::vector<StoredRow> rows;
};

/// The platform's transactional tables. Every call answers within its own timeout.
/// PlatformUnavailable on a transaction means that it may have been applied, or may be applied later.
class PlatformRows {
public:
    using RowsDone = std::function<void(absl::StatusOr<RowsAnswer>)>;
    using TransactionDone = std::function<void(absl::StatusOr<TransactionAnswer>)>;

    virtual ~PlatformRows() = default;

    /// Reads a whole table, as of one era.
    virtual void readAll(const std::string& table, RowsDone) = 0;

    /// Answers with the changes of a table after a version as soon as there is one, or with none after `wait`.
    virtual void watch(const std::string& table, RowVersion after, Milliseconds wait, RowsDone) = 0;

    virtual void transact(const RowsTransaction&, TransactionDone) = 0;

    /// Called when an answer tells another era than the one before.
    void onEraChanged(std::function<void(PlatformEra)> function) { m_eraChanged = std::move(function); }

    /// Called when a call is answered after others were not, with the moment at which it was sent.
    void onReachedAgain(std::function<void(Instant)> function) { m_reachedAgain = std::move(function); }

protected:
    void tellReachedAgain(Instant sent) { m_reachedAgain(sent); }
    void tellEraChanged(PlatformEra era) { m_eraChanged(era); }

private:
    std::function<void(Instant)> m_reachedAgain { [](Instant) {} };
    std::function<void(PlatformEra)> m_eraChanged { [](PlatformEra) {} };
};

/// Appoints the primary of a group. The platform promotes whomever it is told to, so the caller makes sure that only one
/// daemon asks at a time.
class PromotionPort {
public:
    /// False when the target does not run.
    using Done = std::function<void(absl::StatusOr<bool>)>;

    /// A call is answered or withdrawn after this time at the latest.
    static constexpr Milliseconds maxCallTime { 1500 };
    /// How long after a call was withdrawn the platform may still carry it out. The platform's pages say of calls without an answer that
    /// they may be performed "seconds later", and give no limit for promotions.
    static constexpr Milliseconds maxCallDelay { 10'000 };
    /// A promotion takes effect some hundred milliseconds after it is carried out, and at most one second after it on the known deployments.
    static constexpr Milliseconds maxPromotionTime { 1500 };
    /// From the sending of a call without an answer until its promotion takes effect at the latest.
    static constexpr Milliseconds maxUnansweredTime = maxCallTime + maxCallDelay + maxPromotionTime;

    virtual ~PromotionPort() = default;

    /// `fence` grows with each change of the daemon that holds the right to promote. At `until` the call is withdrawn: what was not delivered
    /// by then does not arrive any more. An error means that the call may have been delivered, and may be carried out within maxCallDelay,
    /// unless isUnexecutedCall() is true of it.
    virtual void promote(const GroupId&, const TargetId&, const InstanceId& holder, RowVersion fence, Instant until, Done) = 0;
};

}
