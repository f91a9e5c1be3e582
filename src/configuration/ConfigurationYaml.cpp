#include "configuration/ConfigurationYaml.h"

#include "base/ResultCode.h"
#include "configuration/ConfigurationChecks.h"
#include "configuration/Duration.h"
#include "configuration/PolicySettings.h"
#include "configuration/YamlReader.h"
#include "configuration/YamlValues.h"

#include <absl/strings/numbers.h>

namespace parsleypaddle {

namespace {

    constexpr uint32_t maxCount = 10'000;
    constexpr double maxWeight = 100;

    std::optional<Urgency> parseUrgency(const std::string& text)
    {
        if (text == "urgent")
            return Urgency::Urgent;
        if (text == "normal")
            return Urgency::Normal;
        if (text == "deferrable")
            return Urgency::Deferrable;
        return std::nullopt;
    }

    std::optional<double> parseWeight(const std::string& text)
    {
        double weight = 0;
        if (!absl::SimpleAtod(text, &weight) || weight <= 0 || weight > maxWeight)
            return std::nullopt;
        return weight;
    }

    std::optional<PolicySetting> parseSetting(const std::string& text)
    {
        const auto* info = findPolicySetting(text);
        return info ? std::optional<PolicySetting>(info->setting) : std::nullopt;
    }

    std::string settingNames()
    {
        std::string names;
        for (const auto& it : policySettings())
            names += (names.empty() ? "" : ", ") + std::string(it.name);
        return names;
    }

    TargetConfiguration readTarget(const YamlItem& item, YamlFaults& faults)
    {
        const YamlMap map(item, { "id", "host", "port", "failure-domain" }, faults);
        TargetConfiguration target;
        target.id = TargetId(map.text("id", "the target's name"));
        target.address.host = map.value<std::string>("host", "an IP number", parseIpAddress, "");
        target.address.port = static_cast<uint16_t>(map.value<uint32_t>("port", "a whole number from 1 to 65535", wholeNumberParser(1, UINT16_MAX), 0));
        target.failureDomain = FailureDomainId(map.text("failure-domain", "the failure domain's name"));
        return target;
    }

    GroupConfiguration readGroup(const YamlItem& item, YamlFaults& faults)
    {
        const YamlMap map(item, { "database", "slots", "connections", "targets" }, faults);
        const auto count = wholeNumberParser(1, maxCount);
        GroupConfiguration group;
        group.database = DatabaseId(map.text("database", "the database's name"));
        group.slots = map.value<uint32_t>("slots", "a whole number from 1 to 10000", count, 0);
        group.connections = map.value<uint32_t>("connections", "a whole number from 1 to 10000", count, 0);
        if (group.slots && group.connections && group.connections < group.slots)
            faults.add(map.item("connections"), "fewer connections than slots", "at least one connection for each slot");
        for (const auto& it : map.list("targets"))
            group.targets.push_back(readTarget(it, faults));
        if (group.targets.empty())
            faults.add(map.item("targets"), "no target", "a list of one or more targets");
        return group;
    }

    ClassConfiguration readClass(const YamlItem& item, YamlFaults& faults)
    {
        const YamlMap map(item, { "name", "urgency", "weight", "greatest-age", "deadline" }, faults);
        const auto duration = [](PolicySetting setting, Milliseconds Policy::*member) {
            return [setting, member](const std::string& text) -> std::optional<Milliseconds> {
                Policy policy;
                return applySetting(policy, policySettingInfo(setting), text) ? std::optional<Milliseconds>(policy.*member) : std::nullopt;
            };
        };
        ClassConfiguration workload;
        workload.name = ClassName(map.text("name", "the class's name"));
        workload.urgency = map.value<Urgency>("urgency", "urgent, normal or deferrable", parseUrgency, Urgency::Normal);
        if (map.has("weight"))
            workload.weight = map.value<double>("weight", "a number above 0 and up to 100", parseWeight, 1);
        workload.greatestAge = map.value<Milliseconds>("greatest-age", policySettingInfo(PolicySetting::GreatestAge).expected, duration(PolicySetting::GreatestAge, &Policy::greatestAge), {});
        workload.deadline = map.value<Milliseconds>("deadline", policySettingInfo(PolicySetting::Deadline).expected, duration(PolicySetting::Deadline, &Policy::deadline), {});
        return workload;
    }

    Policy readDefaults(const YamlItem& item, YamlFaults& faults)
    {
        Policy policy;
        const YamlMap map(item, { "greatest-age", "deadline", "acknowledge", "long-work-share", "long-work", "shop-weight" }, faults);
        for (const auto& it : policySettings()) {
            const auto parse = [&policy, &it](const std::string& text) { return applySetting(policy, it, text) ? std::optional<bool>(true) : std::nullopt; };
            if (map.has(it.name))
                map.value<bool>(it.name, it.expected, parse, false);
        }
        return policy;
    }

    ExceptionScope readScope(const YamlItem& item, const YamlMap& map, YamlFaults& faults)
    {
        ExceptionScope scope;
        if (map.has("database"))
            scope.database = DatabaseId(map.text("database", "the database's name"));
        if (map.has("shop"))
            scope.organisation = OrganisationId(map.text("shop", "the shop's name"));
        if (map.has("class"))
            scope.workload = ClassName(map.text("class", "the class's name"));
        if (!map.has("database") && !map.has("shop") && !map.has("class"))
            faults.add(item, "an exception for everything", "one or more of database, shop, class; or a change of the defaults");
        return scope;
    }

    PolicyException readException(const YamlItem& item, YamlFaults& faults)
    {
        const YamlMap map(item, { "id", "database", "shop", "class", "setting", "value", "reason", "author", "until" }, faults);
        PolicyException exception;
        exception.id = map.text("id", "the exception's name");
        exception.scope = readScope(item, map, faults);
        const auto setting = map.value<std::optional<PolicySetting>>(
            "setting", "one of " + settingNames(), [](const std::string& text) {
            const auto parsed = parseSetting(text);
            return parsed ? std::optional<std::optional<PolicySetting>>(parsed) : std::nullopt; }, std::nullopt);
        exception.setting = setting.value_or(PolicySetting::GreatestAge);
        exception.value = map.text("value", setting ? policySettingInfo(*setting).expected : "the setting's value");
        Policy scratch;
        if (setting && !exception.value.empty() && !applySetting(scratch, policySettingInfo(*setting), exception.value))
            faults.add(map.item("value"), "\"" + exception.value + "\"", policySettingInfo(*setting).expected);
        exception.reason = map.text("reason", "why the exception is needed");
        exception.author = map.text("author", "the person responsible for the exception");
        if (map.has("until"))
            exception.until = map.value<Instant>("until", "a UTC time such as 2026-12-31T23:59:59Z", parseInstant, {});
        return exception;
    }

    void readDocument(const YAML::Node& root, Configuration& configuration, YamlFaults& faults)
    {
        const YamlMap map({ root, "" }, { "version", "defaults", "classes", "groups", "exceptions" }, faults);
        if (map.has("version")) {
            const auto version = map.value<uint32_t>("version", "the number of the version that this document is based on", wholeNumberParser(0, UINT32_MAX), 0);
            configuration.version = ConfigurationVersion(version);
        }
        if (map.has("defaults"))
            configuration.defaults = readDefaults(map.item("defaults"), faults);
        for (const auto& it : map.list("classes"))
            configuration.classes.push_back(readClass(it, faults));
        for (const auto& it : map.list("groups"))
            configuration.groups.push_back(readGroup(it, faults));
        for (const auto& it : map.list("exceptions"))
            configuration.exceptions.push_back(readException(it, faults));
        checkConsistency(map, configuration, faults);
    }

}

ParsedConfiguration parseConfiguration(const std::string& document)
{
    ParsedConfiguration parsed;
    YamlFaults faults;
    try {
        const YAML::Node root = YAML::Load(document);
        readDocument(root, parsed.configuration, faults);
    } catch (const YAML::Exception& error) {
        parsed.faults.push_back({ error.mark.line + 1, "document", error.msg, "a YAML document" });
        return parsed;
    }
    parsed.faults = faults.takeSorted();
    return parsed;
}

absl::StatusOr<Configuration> loadConfiguration(const std::string& document, const std::string& file)
{
    ParsedConfiguration parsed = parseConfiguration(document);
    if (parsed.isValid())
        return std::move(parsed.configuration);
    std::string message;
    for (const auto& it : parsed.faults)
        message += (message.empty() ? "" : "\n") + it.describe(file);
    return makeError(ResultCode::ConfigurationInvalid, message);
}

}
