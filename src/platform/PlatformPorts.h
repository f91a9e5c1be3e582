#pragma once

#include "base/Ids.h"

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

}
