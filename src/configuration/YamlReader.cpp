#include "configuration/YamlReader.h"

#include <algorithm>
#include <set>

namespace parsleypaddle {

namespace {

    std::string join(std::initializer_list<const char*> words)
    {
        std::string joined;
        for (const char* it : words)
            joined += joined.empty() ? std::string(it) : std::string(", ") + it;
        return joined;
    }

    std::string childPath(const std::string& parent, const std::string& key)
    {
        return parent.empty() ? key : parent + "." + key;
    }

}

void YamlFaults::add(const YamlItem& item, const std::string& found, const std::string& expected)
{
    const std::string key = item.path.empty() ? "document" : item.path;
    // Skips duplicates: parsing and checkConsistency() both call YamlMap::list(), which adds the same fault each time.
    const bool isRecorded = std::any_of(m_faults.begin(), m_faults.end(), [&](const auto& it) { return it.key == key && it.found == found; });
    if (!isRecorded)
        m_faults.push_back({ item.node.Mark().line + 1, key, found, expected });
}

std::vector<ConfigurationFault> YamlFaults::takeSorted()
{
    std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto& a, const auto& b) { return a.line < b.line; });
    return std::move(m_faults);
}

YamlMap::YamlMap(YamlItem item, std::initializer_list<const char*> keys, YamlFaults& faults)
    : m_item(std::move(item))
    , m_faults(faults)
{
    if (!m_item.node.IsMap()) {
        m_faults.add(m_item, "not a mapping", "the keys " + join(keys));
        m_isMap = false;
        return;
    }
    std::set<std::string> seen;
    for (const auto& it : m_item.node) {
        const std::string key = it.first.IsScalar() ? it.first.Scalar() : "?";
        const YamlItem child { it.first, childPath(m_item.path, key) };
        const bool isKnown = std::any_of(keys.begin(), keys.end(), [&key](const char* known) { return key == known; });
        if (!isKnown)
            m_faults.add(child, "unknown key", "one of " + join(keys));
        else if (!seen.insert(key).second)
            m_faults.add(child, "repeated key", "each key once");
    }
}

bool YamlMap::has(const std::string& key) const
{
    return m_isMap && m_item.node[key].IsDefined();
}

YamlItem YamlMap::item(const std::string& key) const
{
    const YAML::Node& node = m_item.node;
    return { has(key) ? node[key] : node, childPath(m_item.path, key) };
}

std::optional<std::string> YamlMap::scalar(const std::string& key, const std::string& expected) const
{
    // The constructor has already added a fault for the missing mapping; faults for its keys would only repeat it.
    if (!m_isMap)
        return std::nullopt;
    if (!has(key)) {
        m_faults.add(item(key), "missing", expected);
        return std::nullopt;
    }
    const YamlItem child = item(key);
    if (!child.node.IsScalar() || child.node.Scalar().empty()) {
        m_faults.add(child, child.node.IsScalar() || child.node.IsNull() ? "empty" : "not a single value", expected);
        return std::nullopt;
    }
    return child.node.Scalar();
}

std::string YamlMap::text(const std::string& key, const std::string& expected) const
{
    return scalar(key, expected).value_or("");
}

std::vector<YamlItem> YamlMap::list(const std::string& key) const
{
    std::vector<YamlItem> items;
    if (!has(key))
        return items;
    const YamlItem child = item(key);
    if (!child.node.IsSequence()) {
        if (!child.node.IsNull())
            m_faults.add(child, "not a list", "a list");
        return items;
    }
    for (size_t n = 0; n < child.node.size(); ++n)
        items.push_back({ child.node[n], child.path + "[" + std::to_string(n) + "]" });
    return items;
}

}
