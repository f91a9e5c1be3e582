#include "tool/TextTable.h"

#include <algorithm>
#include <ostream>

namespace parsleypaddle {

TextTable::TextTable(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void TextTable::add(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream& out) const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (size_t n = 0; n < widths.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t n = 0; n < widths.size(); ++n)
            line += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

}
