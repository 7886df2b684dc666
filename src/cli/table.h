/** Aligned tables for terminals. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace jackdawdoor::cli {

/** Rows of cells; the first row has the titles. */
using Table = std::vector<std::vector<std::string>>;

/** Prints the columns aligned to the left, two spaces apart, without spaces at the end of a line. */
void printTable(const Table &rows, std::ostream &out);

} // namespace jackdawdoor::cli
