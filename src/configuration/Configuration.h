#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// Where a target listens, by IP number.
struct TargetAddress {
    std::string host;
    uint16_t port { 0 };

    friend bool operator==(const TargetAddress& a, const TargetAddress& b) { return a.host == b.host && a.port == b.port; }
};

/// One database server of a group.
struct TargetConfiguration {
    TargetId id;
    TargetAddress address;
    FailureDomainId failureDomain;
    /// The group that it belongs to, where targets check that; empty elsewhere.
    GroupId group {};
    /// Another daemon that passes statements on; `group` then names the database.
    bool isPeer { false };
};

/// A database group as operators declare it.
struct GroupConfiguration {
    DatabaseId database;
    /// Statements that one target runs at a time.
    uint32_t slots { 0 };
    /// Connections that one target accepts from all daemons together.
    uint32_t connections { 0 };
    std::vector<TargetConfiguration> targets;
};

/// How urgent a workload class is; the lowest is shed first.
enum class Urgency : uint8_t {
    Urgent,
    Normal,
    Deferrable,
};

/// A workload class.
struct ClassConfiguration {
    ClassName name;
    Urgency urgency { Urgency::Normal };
    /// Share of the work against other classes of the same urgency.
    double weight { 1 };
    Milliseconds greatestAge;
    Milliseconds deadline;
};

/// When a write counts as done.
enum class AckRule : uint8_t {
    TermConfirmed,
    Replicated,
};

/// Settings that an exception may change for its scope.
struct Policy {
    /// Greatest age of the data that a read accepts when neither request nor class says.
    Milliseconds greatestAge { 2000 };
    Milliseconds deadline { 5000 };
    AckRule acknowledge { AckRule::Replicated };
    /// Share of a target's slots that long work may hold.
    double longWorkShare { 0.5 };
    /// Work estimated above this is long.
    Milliseconds longWork { 50 };
    /// Weight of a shop against the other shops of its class.
    double shopWeight { 1 };
};

/// The name of a setting that an exception changes.
enum class PolicySetting : uint8_t {
    GreatestAge,
    Deadline,
    Acknowledge,
    LongWorkShare,
    LongWork,
    ShopWeight,
};

/// Where an exception holds; an empty id matches all.
struct ExceptionScope {
    DatabaseId database;
    ShopId shop;
    ClassName workload;
};

/// A deviation from the defaults, with its reason.
struct PolicyException {
    std::string id;
    ExceptionScope scope;
    PolicySetting setting { PolicySetting::GreatestAge };
    /// The value as written, checked against the setting.
    std::string value;
    std::string reason;
    std::string author;
    /// When it ends; nullopt holds until removed.
    std::optional<Instant> until;
};

/// The fleet's configuration. Immutable once in force.
struct Configuration {
    ConfigurationVersion version;
    std::vector<GroupConfiguration> groups;
    Policy defaults;
    std::vector<ClassConfiguration> classes;
    std::vector<PolicyException> exceptions;

    const GroupConfiguration* findGroup(const DatabaseId& database) const
    {
        for (const auto& it : groups) {
            if (it.database == database)
                return &it;
        }
        return nullptr;
    }

    const ClassConfiguration* findClass(const ClassName& name) const
    {
        for (const auto& it : classes) {
            if (it.name == name)
                return &it;
        }
        return nullptr;
    }
};

}
