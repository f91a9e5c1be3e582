#pragma once

#include <set>
#include <string>

namespace parsleypaddle {

/// Limits the number of values of a metric label: the first `limit` distinct values are kept, all others become "other".
class LabelLimit {
public:
    explicit LabelLimit(size_t limit)
        : m_limit(limit)
    {
    }

    const std::string& labelOf(const std::string& value)
    {
        static const std::string other("other");
        auto it = m_values.find(value);
        if (it != m_values.end())
            return *it;
        return m_values.size() < m_limit ? *m_values.insert(value).first : other;
    }

private:
    size_t m_limit;
    std::set<std::string> m_values;
};

}
