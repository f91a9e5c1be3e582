#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "configuration/Configuration.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// What the reads of a route must see.
enum class ReadRule : uint8_t {
    /// Every acknowledged commit.
    Primary,
    /// Every commit acknowledged longer ago than the route's greatest age.
    BoundedStaleness,
    /// As BoundedStaleness, and every commit of the caller's own session.
    ReadYourWrites,
};

/// How the statements on one database are served.
struct Route {
    DatabaseId database;
    GroupId group;
    ReadRule readRule { ReadRule::Primary };
    Milliseconds greatestAge;
    /// Limit of one statement at a target.
    Milliseconds statementTimeout;
    /// Within this a whole operation should be answered.
    Milliseconds objective;
    Urgency urgency { Urgency::Normal };
};

/// Limits of one group, the same for each of its targets.
struct GroupLimits {
    /// Connections that one target accepts from all daemons together.
    uint32_t connections { 0 };
};

/// The routes in force. Immutable once read.
struct RouteTable {
    ConfigurationVersion version;
    std::map<DatabaseId, std::shared_ptr<const Route>> routes;
    std::map<GroupId, GroupLimits> groups;
    /// A transaction that rests longer may be ended.
    Milliseconds transactionIdle;
};

}
