#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// The IP address and port at which a target accepts connections.
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
    /// The target's group, for targets from the platform's directory; the line connector sends it when a connection opens.
    /// Empty for targets from the configuration document.
    GroupId group {};
    /// The target is another daemon that forwards statements; `group` then holds the name of the database.
    bool isPeer { false };
};

/// A database group as declared in the configuration document.
struct GroupConfiguration {
    DatabaseId database;
    /// Maximum number of statements that run on one target concurrently.
    uint32_t slots { 0 };
    /// Maximum number of connections to one target, over all daemons.
    uint32_t connections { 0 };
    std::vector<TargetConfiguration> targets;
};

/// Priority of a workload class. Under overload, requests of the least urgent classes are shed first.
enum class Urgency : uint8_t {
    /// Only routes of the platform's priority 0 have it; configuration documents don't name it.
    Critical,
    Urgent,
    Normal,
    Deferrable,
};

/// A workload class as declared in the configuration document.
struct ClassConfiguration {
    ClassName name;
    Urgency urgency { Urgency::Normal };
    /// Relative share of the work among the classes of the same urgency.
    double weight { 1 };
    /// Greatest age of the data that a read accepts when the request does not specify one.
    Milliseconds greatestAge;
    Milliseconds deadline;
};

/// The confirmation that a write needs before it is acknowledged. See AckLevel for the meaning of each value.
enum class AckRule : uint8_t {
    TermConfirmed,
    Replicated,
};

/// Default settings, or the settings that apply to one request; see resolvePolicy(). A class overrides `greatestAge` and
/// `deadline`; an exception can override any one setting, but `longWorkShare` and `longWork` are used only from the defaults.
struct Policy {
    /// Greatest age of the data that a read accepts when the request does not specify one.
    Milliseconds greatestAge { 2000 };
    Milliseconds deadline { 5000 };
    AckRule acknowledge { AckRule::Replicated };
    /// Fraction of a target's slots that long-running work may occupy.
    double longWorkShare { 0.5 };
    /// Work whose estimated or actual run time exceeds this counts as long-running.
    Milliseconds longWork { 50 };
    /// Relative share of an organisation among the organisations of the same class.
    double organisationWeight { 1 };
};

/// Identifies a member of Policy that an exception overrides.
enum class PolicySetting : uint8_t {
    GreatestAge,
    Deadline,
    Acknowledge,
    LongWorkShare,
    LongWork,
    OrganisationWeight,
};

/// The requests to which an exception applies; an empty id matches every value.
struct ExceptionScope {
    DatabaseId database;
    OrganisationId organisation;
    ClassName workload;
};

/// Overrides one policy setting for a scope.
struct PolicyException {
    std::string id;
    ExceptionScope scope;
    PolicySetting setting { PolicySetting::GreatestAge };
    /// The value as text in the document's notation; it has been validated for the setting.
    std::string value;
    std::string reason;
    std::string author;
    /// When the exception expires; nullopt means that it applies until it is removed.
    std::optional<Instant> until;
};

/// The configuration of the whole fleet. Not modified after it has come into force.
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
