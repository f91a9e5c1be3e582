#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Lines of columns that are as wide as their widest cell.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headings);

    void add(std::vector<std::string> cells);
    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
