#include "cli/table.h"

#include <algorithm>
#include <cstddef>

namespace jackdawdoor::cli {

void printTable(const Table &rows, std::ostream &out)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    constexpr std::size_t gap = 2;
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            out << row[column] << (last ? std::string{} : std::string(widths[column] - row[column].size() + gap, ' '));
        }
        out << "\n";
    }
}

} // namespace jackdawdoor::cli
