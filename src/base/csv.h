// Reader for comma-separated files: one record per line, no quoting. Empty lines and lines that begin with #
// are skipped.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace yokestream::csv {

using Cells = std::vector<std::string>;
// Calls `handle_record` with the cells of each line. An exception that it throws, or a line that doesn't have
// `cell_count` cells, is reported as a std::runtime_error whose message begins with "line N: ".
void for_each_record(const std::string& text, std::size_t cell_count,
                     const std::function<void(const Cells&)>& handle_record);
// Parses a number of 0 or more; throws std::runtime_error for anything else.
double parse_number(const std::string& cell);
std::string read_file(const std::string& path);  // throws std::runtime_error

}  // namespace yokestream::csv
