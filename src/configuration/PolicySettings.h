#pragma once

#include "configuration/Configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace parsleypaddle {

/// Describes one policy setting: its name in documents, the member of Policy that holds it, and its valid range.
struct PolicySettingInfo {
    using Member = std::variant<Milliseconds Policy::*, double Policy::*, AckRule Policy::*>;

    PolicySetting setting;
    const char* name;
    Member member;
    /// Smallest and greatest valid value, in milliseconds for durations. Not used for `acknowledge`.
    double minimum;
    double maximum;
    /// Description of the valid values, for error messages.
    const char* expected;
};

/// All settings, indexed by PolicySetting. writeConfiguration() writes the defaults in this order.
const std::vector<PolicySettingInfo>& policySettings();

const PolicySettingInfo& policySettingInfo(PolicySetting);

/// Returns the setting with that name in documents; nullptr when there is none.
const PolicySettingInfo* findPolicySetting(const std::string& name);

/// Parses a value and assigns it to a policy's setting. Returns false, and changes nothing, when the value is invalid.
bool applySetting(Policy&, const PolicySettingInfo&, const std::string& value);

/// Formats the current value of a policy's setting.
std::string formatSetting(const Policy&, const PolicySettingInfo&);

/// Returns the settings that apply to a request. Its class overrides the defaults, and matching exceptions override
/// both; among these, the one with more scope fields takes precedence. Expired exceptions are ignored.
Policy resolvePolicy(const Configuration&, const OrganisationId&, const DatabaseId&, const ClassName&, Instant now);

}
