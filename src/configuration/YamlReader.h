#pragma once

#include "configuration/ConfigurationFault.h"

#include <functional>
#include <initializer_list>
#include <optional>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace parsleypaddle {

/// A YAML node and its path in the document, such as "groups[0].slots".
struct YamlItem {
    YAML::Node node;
    std::string path;
};

/// Collects the faults found in one document.
class YamlFaults {
public:
    /// Adds a fault, unless one with the same path and the same text `found` has been added already.
    void add(const YamlItem&, const std::string& found, const std::string& expected);
    /// Moves the collected faults out, sorted by line.
    std::vector<ConfigurationFault> takeSorted();

private:
    std::vector<ConfigurationFault> m_faults;
};

/// Reads the values of one mapping, and collects every fault instead of stopping at the first.
class YamlMap {
public:
    /// Adds a fault for each unknown or repeated key, or when the item is not a mapping. `keys` lists the known keys.
    YamlMap(YamlItem, std::initializer_list<const char*> keys, YamlFaults&);

    bool has(const std::string& key) const;

    /// Returns the item under `key`. When the key is absent, the item contains the mapping's own node, so that a fault
    /// about the missing key has a line number.
    YamlItem item(const std::string& key) const;

    /// Reads a required, non-empty text. Adds a fault and returns an empty text when there is none.
    std::string text(const std::string& key, const std::string& expected) const;

    /// Reads a required value with `parse`. Adds a fault and returns `fallback` when the value is missing or invalid.
    template <typename T>
    T value(const std::string& key, const std::string& expected, const std::function<std::optional<T>(const std::string&)>& parse, T fallback) const
    {
        const auto written = scalar(key, expected);
        if (!written)
            return fallback;
        const auto parsed = parse(*written);
        if (parsed)
            return *parsed;
        m_faults.add(item(key), "\"" + *written + "\"", expected);
        return fallback;
    }

    /// Returns the items of an optional list; empty when the key is absent or its value is null. Adds a
    /// fault for any other value that is not a list.
    std::vector<YamlItem> list(const std::string& key) const;

private:
    std::optional<std::string> scalar(const std::string& key, const std::string& expected) const;

    YamlItem m_item;
    YamlFaults& m_faults;
    bool m_isMap { true };
};

}
