#pragma once

#include "configuration/Configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace parsleypaddle {

/// One setting of a policy: its name in documents, where it lives, and what values it takes.
struct PolicySettingInfo {
    using Member = std::variant<Milliseconds Policy::*, double Policy::*, AckRule Policy::*>;

    PolicySetting setting;
    const char* name;
    Member member;
    /// Smallest and greatest value: milliseconds for durations.
    double least;
    double greatest;
    /// What a value has to be, for messages.
    const char* expected;
};

/// Every setting, in the order in which documents show them.
const std::vector<PolicySettingInfo>& policySettings();

const PolicySettingInfo& infoOf(PolicySetting);

/// The setting of that name; nullptr when there is none.
const PolicySettingInfo* findPolicySetting(const std::string& name);

/// Sets a policy's setting from its written value. Returns whether the value is one that the setting takes.
bool applySetting(Policy&, const PolicySettingInfo&, const std::string& value);

/// Writes the present value of a policy's setting.
std::string formatSetting(const Policy&, const PolicySettingInfo&);

/// The settings that hold for a request: defaults, then its class, then the exceptions that match, the one with
/// more scope fields last. Ended exceptions are left out.
Policy resolvePolicy(const Configuration&, const ShopId&, const DatabaseId&, const ClassName&, Instant now);

}
