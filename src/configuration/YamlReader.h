#pragma once

#include "configuration/ConfigurationFault.h"

#include <functional>
#include <initializer_list>
#include <optional>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace parsleypaddle {

/// A node of a document with its path, such as "groups[0].slots".
struct YamlItem {
    YAML::Node node;
    std::string path;
};

/// Collects the faults of one document.
class YamlFaults {
public:
    void add(const YamlItem&, const std::string& found, const std::string& expected);
    std::vector<ConfigurationFault> take();

private:
    std::vector<ConfigurationFault> m_faults;
};

/// Reads one mapping, and notes every fault instead of stopping at the first.
class YamlMap {
public:
    /// Unknown and repeated keys are noted at once.
    YamlMap(YamlItem, std::initializer_list<const char*> keys, YamlFaults&);

    bool has(const std::string& key) const;

    /// The item under `key`; when there is none, the mapping's node stands for it, so that a fault has a line.
    YamlItem item(const std::string& key) const;

    /// A required, non-empty text.
    std::string text(const std::string& key, const std::string& expected) const;

    /// A required value that `parse` accepts; `fallback` and a fault otherwise.
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

    /// The items of a list; none when the key is absent.
    std::vector<YamlItem> list(const std::string& key) const;

private:
    std::optional<std::string> scalar(const std::string& key, const std::string& expected) const;

    YamlItem m_item;
    YamlFaults& m_faults;
    bool m_isMap { true };
};

}
