#pragma once

#include "base/StrongTypes.h"

namespace parsleypaddle {

/// A tenant whose records and share of work are kept apart from others'.
using ShopId = Name<struct ShopTag>;
/// A caller's session, which reads its own writes.
using SessionId = Name<struct SessionTag>;
/// A caller's request: "<milliseconds since the epoch>-<unique text>", kept over all its retries.
using RequestId = Name<struct RequestTag>;
/// A workload class, such as fitting or history.
using ClassName = Name<struct ClassTag>;
/// A database, served by one group of targets.
using DatabaseId = Name<struct DatabaseTag>;
/// One database group: a primary and its replicas.
using GroupId = Name<struct GroupTag>;
/// One statement of a caller, as the caller names it.
using StatementId = Name<struct StatementTag>;
/// One database server of a group.
using TargetId = Name<struct TargetTag>;
/// One running daemon.
using InstanceId = Name<struct InstanceTag>;
/// A failure domain.
using FailureDomainId = Name<struct FailureDomainTag>;
/// An open transaction, naming the home that owns its connection.
using TransactionId = Name<struct TransactionTag>;

/// The term of a database group: grows with each change of primary.
using Term = Ordinal<struct TermTag>;
/// A position in the log of a database group; comparable within one lineage of terms.
using LogPosition = Ordinal<struct LogPositionTag>;
/// The version of the fleet's configuration; grows with each accepted change.
using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>;

}
