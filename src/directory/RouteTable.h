#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "configuration/Configuration.h"
#include "directory/OrganisationDirectory.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// The commits that a read of a route must see.
enum class ReadConsistency : uint8_t {
    /// Every acknowledged commit.
    Primary,
    /// Every commit that was acknowledged longer ago than the route's greatest age.
    BoundedStaleness,
    /// The same as BoundedStaleness, and also every commit of the caller's own session.
    ReadYourWrites,
};

/// How the relay serves the statements on one database.
struct Route {
    DatabaseId database;
    GroupId group;
    ReadConsistency readConsistency { ReadConsistency::Primary };
    /// Greatest staleness that a read may have, unless the rule is Primary.
    Milliseconds greatestAge;
    /// Timeout of one statement, counted from its arrival.
    Milliseconds statementTimeout;
    /// Latency objective of an operation, from its arrival to its answer.
    Milliseconds latencyObjective;
    Urgency urgency { Urgency::Normal };
    /// Whether callers without a key may use the route. Only matters where the table has organisations.
    bool isPublic { false };
};

/// Limits of one group, the same for each of its targets.
struct GroupLimits {
    /// Connections that one target accepts from all daemons together.
    uint32_t connections { 0 };
    /// Number of replicas that must have received a commit before the primary acknowledges it; 0 for none.
    uint32_t synchronousReplicas { 0 };
};

/// The routes of the configuration in force. Not modified after the configuration was decoded.
struct RouteTable {
    ConfigurationVersion version;
    std::map<DatabaseId, std::shared_ptr<const Route>> routes;
    std::map<GroupId, GroupLimits> groups;
    /// A transaction without a statement for longer than this may be rolled back.
    Milliseconds transactionIdleTimeout;
    /// Null where the configuration names no organisations, and callers are not identified.
    std::shared_ptr<const OrganisationDirectory> organisations;
};

}
