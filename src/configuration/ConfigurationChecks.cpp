#include "configuration/ConfigurationChecks.h"

#include <set>
#include <tuple>

namespace parsleypaddle {

namespace {

    void checkUnique(const YamlItem& item, const char* key, const std::string& id, std::set<std::string>& seen, YamlFaults& faults)
    {
        if (!id.empty() && !seen.insert(id).second)
            faults.add({ item.node, item.path + "." + key }, "\"" + id + "\" stands twice", "an id of its own");
    }

    void checkGroups(const YamlMap& document, const Configuration& configuration, YamlFaults& faults)
    {
        std::set<std::string> databases;
        std::set<std::string> targets;
        std::set<std::string> addresses;
        const auto items = document.list("groups");
        for (size_t n = 0; n < items.size(); ++n) {
            const GroupConfiguration& group = configuration.groups[n];
            checkUnique(items[n], "database", group.database.value(), databases, faults);
            for (size_t m = 0; m < group.targets.size(); ++m) {
                const TargetConfiguration& target = group.targets[m];
                const YAML::Node node = items[n].node["targets"][m];
                const YamlItem item { node, items[n].path + ".targets[" + std::to_string(m) + "]" };
                checkUnique(item, "id", target.id.value(), targets, faults);
                if (!target.address.host.empty() && target.address.port)
                    checkUnique(item, "host", target.address.host + ":" + std::to_string(target.address.port), addresses, faults);
            }
        }
    }

    void checkClasses(const YamlMap& document, const Configuration& configuration, YamlFaults& faults)
    {
        std::set<std::string> names;
        const auto items = document.list("classes");
        for (size_t n = 0; n < items.size(); ++n)
            checkUnique(items[n], "name", configuration.classes[n].name.value(), names, faults);
    }

    void checkExceptions(const YamlMap& document, const Configuration& configuration, YamlFaults& faults)
    {
        using ScopeAndSetting = std::tuple<std::string, std::string, std::string, PolicySetting>;
        std::set<std::string> ids;
        std::set<ScopeAndSetting> scopesAndSettings;
        const auto items = document.list("exceptions");
        for (size_t n = 0; n < items.size(); ++n) {
            const PolicyException& exception = configuration.exceptions[n];
            const ExceptionScope& scope = exception.scope;
            checkUnique(items[n], "id", exception.id, ids, faults);
            if (!scope.database.isEmpty() && !configuration.findGroup(scope.database))
                faults.add({ items[n].node, items[n].path + ".database" }, "\"" + scope.database.value() + "\" is not declared", "a database under groups");
            if (!scope.workload.isEmpty() && !configuration.findClass(scope.workload))
                faults.add({ items[n].node, items[n].path + ".class" }, "\"" + scope.workload.value() + "\" is not declared", "a class under classes");
            if (!scopesAndSettings.insert({ scope.database.value(), scope.organisation.value(), scope.workload.value(), exception.setting }).second)
                faults.add(items[n], "a second exception for the same scope and setting", "one exception for each scope and setting");
        }
    }

}

void checkConsistency(const YamlMap& document, const Configuration& configuration, YamlFaults& faults)
{
    checkGroups(document, configuration, faults);
    checkClasses(document, configuration, faults);
    checkExceptions(document, configuration, faults);
}

}
