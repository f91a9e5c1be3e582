#pragma once

#include "base/StrongTypes.h"

namespace parsleypaddle {

/// An organisation (tenant): its records and its share of capacity are separate from those of other organisations.
using OrganisationId = Name<struct OrganisationTag>;
/// A caller's session. Reads of a session see its earlier writes.
using SessionId = Name<struct SessionTag>;
/// A caller's request, as "<milliseconds since the epoch>-<unique text>". Retries of a request carry the same id.
using RequestId = Name<struct RequestTag>;
/// A workload class, such as fitting or history.
using ClassName = Name<struct ClassTag>;
/// A logical database, served by one group of targets.
using DatabaseId = Name<struct DatabaseTag>;
/// A database group: a primary and its replicas.
using GroupId = Name<struct GroupTag>;
/// A statement's id, chosen by the caller.
using StatementId = Name<struct StatementTag>;
/// A database server (back end) of a group.
using TargetId = Name<struct TargetTag>;
/// A running instance of the daemon.
using InstanceId = Name<struct InstanceTag>;
/// A failure domain (zone).
using FailureDomainId = Name<struct FailureDomainTag>;
/// An open transaction. The prefix of the id identifies the daemon that owns the transaction's connection.
using TransactionId = Name<struct TransactionTag>;

/// The term of a database group; it increases with each change of primary.
using Term = Ordinal<struct TermTag>;
/// A position in the log of a database group. It identifies an entry only together with a term: a change of primary
/// can discard the end of the log, and the new primary then uses the same positions for other entries.
using LogPosition = Ordinal<struct LogPositionTag>;
/// The version of the fleet's configuration; it increases with each accepted change.
using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>;

}
