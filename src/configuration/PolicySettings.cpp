#include "configuration/PolicySettings.h"

#include "configuration/Duration.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr double dayInMilliseconds = 24 * 3'600'000.0;

    bool isWithin(double value, const PolicySettingInfo& info)
    {
        return value >= info.minimum && value <= info.maximum;
    }

    // Parses a value and assigns it when it is within the setting's range, with one overload per type of member.
    struct ApplyValue {
        Policy& policy;
        const PolicySettingInfo& info;
        const std::string& text;

        bool operator()(Milliseconds Policy::*member) const
        {
            const auto duration = parseDuration(text);
            if (!duration || !isWithin(duration->count(), info))
                return false;
            policy.*member = *duration;
            return true;
        }

        bool operator()(double Policy::*member) const
        {
            double number = 0;
            if (!absl::SimpleAtod(text, &number) || !isWithin(number, info))
                return false;
            policy.*member = number;
            return true;
        }

        bool operator()(AckRule Policy::*member) const
        {
            if (text != "term-confirmed" && text != "replicated")
                return false;
            policy.*member = text == "replicated" ? AckRule::Replicated : AckRule::TermConfirmed;
            return true;
        }
    };

    struct FormatValue {
        const Policy& policy;

        std::string operator()(Milliseconds Policy::*member) const { return formatDuration(policy.*member); }
        std::string operator()(double Policy::*member) const { return absl::StrCat(policy.*member); }
        std::string operator()(AckRule Policy::*member) const { return policy.*member == AckRule::Replicated ? "replicated" : "term-confirmed"; }
    };

    template <typename Id>
    bool matches(const Id& scope, const Id& value)
    {
        return scope.isEmpty() || scope == value;
    }

    bool matches(const ExceptionScope& scope, const OrganisationId& organisation, const DatabaseId& database, const ClassName& workload)
    {
        return matches(scope.organisation, organisation) && matches(scope.database, database) && matches(scope.workload, workload);
    }

    // Orders scopes by their number of fields. With equally many fields, a scope that names an organisation ranks above one that
    // does not, then one that names a database.
    int specificity(const ExceptionScope& scope)
    {
        const int organisation = scope.organisation.isEmpty() ? 0 : 1;
        const int database = scope.database.isEmpty() ? 0 : 1;
        const int workload = scope.workload.isEmpty() ? 0 : 1;
        return (organisation + database + workload) * 8 + organisation * 4 + database * 2 + workload;
    }

}

const std::vector<PolicySettingInfo>& policySettings()
{
    static const std::vector<PolicySettingInfo> settings {
        { PolicySetting::GreatestAge, "greatest-age", &Policy::greatestAge, 0, dayInMilliseconds, "a duration from 0ms to 24h, such as 250ms or 2s" },
        { PolicySetting::Deadline, "deadline", &Policy::deadline, 1, 3'600'000, "a duration from 1ms to 1h, such as 250ms or 2s" },
        { PolicySetting::Acknowledge, "acknowledge", &Policy::acknowledge, 0, 0, "term-confirmed or replicated" },
        { PolicySetting::LongWorkShare, "long-work-share", &Policy::longWorkShare, 0.01, 1, "a number from 0.01 to 1" },
        { PolicySetting::LongWork, "long-work", &Policy::longWork, 1, 3'600'000, "a duration from 1ms to 1h, such as 250ms or 2s" },
        { PolicySetting::OrganisationWeight, "shop-weight", &Policy::organisationWeight, 0.01, 100, "a number from 0.01 to 100" },
    };
    return settings;
}

const PolicySettingInfo& policySettingInfo(PolicySetting setting)
{
    return policySettings()[static_cast<size_t>(setting)];
}

const PolicySettingInfo* findPolicySetting(const std::string& name)
{
    for (const auto& it : policySettings()) {
        if (name == it.name)
            return &it;
    }
    return nullptr;
}

bool applySetting(Policy& policy, const PolicySettingInfo& info, const std::string& value)
{
    return std::visit(ApplyValue { policy, info, value }, info.member);
}

std::string formatSetting(const Policy& policy, const PolicySettingInfo& info)
{
    return std::visit(FormatValue { policy }, info.member);
}

Policy resolvePolicy(const Configuration& configuration, const OrganisationId& organisation, const DatabaseId& database, const ClassName& workload, Instant now)
{
    Policy policy = configuration.defaults;
    if (const auto* found = configuration.findClass(workload)) {
        policy.greatestAge = found->greatestAge;
        policy.deadline = found->deadline;
    }
    std::vector<const PolicyException*> matching;
    for (const auto& it : configuration.exceptions) {
        const bool hasEnded = it.until && *it.until <= now;
        if (!hasEnded && matches(it.scope, organisation, database, workload))
            matching.push_back(&it);
    }
    std::stable_sort(matching.begin(), matching.end(), [](const auto* a, const auto* b) { return specificity(a->scope) < specificity(b->scope); });
    for (const auto* it : matching)
        applySetting(policy, policySettingInfo(it->setting), it->value);
    return policy;
}

}
