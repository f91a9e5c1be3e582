#include "configuration/ConfigurationDiff.h"

#include "configuration/ConfigurationYaml.h"

#include <map>
#include <yaml-cpp/yaml.h>

namespace parsleypaddle {

namespace {

    constexpr size_t maxChangesInSummary = 5;

    using FlatDocument = std::map<std::string, std::string>;

    std::string idOf(const YAML::Node& item, size_t position)
    {
        for (const char* it : { "id", "database", "name" }) {
            if (item.IsMap() && item[it].IsDefined())
                return item[it].Scalar();
        }
        return std::to_string(position);
    }

    // List items are keyed by their id instead of their position, so that an item inserted in the middle of a list does
    // not make all later items differ.
    // NOLINTNEXTLINE(misc-no-recursion)
    void flatten(const YAML::Node& node, const std::string& path, FlatDocument& flat)
    {
        if (node.IsMap()) {
            for (const auto& it : node)
                flatten(it.second, path.empty() ? it.first.Scalar() : path + "/" + it.first.Scalar(), flat);
        } else if (node.IsSequence()) {
            for (size_t n = 0; n < node.size(); ++n)
                flatten(node[n], path + "/" + idOf(node[n], n), flat);
        } else {
            flat[path] = node.Scalar();
        }
    }

    FlatDocument flatten(const Configuration& configuration)
    {
        FlatDocument flat;
        flatten(YAML::Load(writeConfiguration(configuration)), "", flat);
        flat.erase("version");
        return flat;
    }

}

std::string ConfigurationChange::describe() const
{
    const auto orNone = [](const std::string& value) { return value.empty() ? std::string("none") : value; };
    return key + ": " + orNone(before) + " -> " + orNone(after);
}

std::vector<ConfigurationChange> compareConfigurations(const Configuration& before, const Configuration& after)
{
    const FlatDocument old = flatten(before);
    std::map<std::string, ConfigurationChange> changes;
    for (const auto& [key, value] : old)
        changes[key] = { key, value, "" };
    for (const auto& [key, value] : flatten(after)) {
        changes[key].key = key;
        changes[key].after = value;
    }
    std::vector<ConfigurationChange> different;
    for (auto& [key, change] : changes) {
        if (change.before != change.after)
            different.push_back(std::move(change));
    }
    return different;
}

std::string summarizeChanges(const std::vector<ConfigurationChange>& changes)
{
    std::string summary;
    for (size_t n = 0; n < changes.size() && n < maxChangesInSummary; ++n)
        summary += (n ? "; " : "") + changes[n].describe();
    if (changes.size() > maxChangesInSummary)
        summary += "; and " + std::to_string(changes.size() - maxChangesInSummary) + " more";
    return summary.empty() ? "no change" : summary;
}

}
