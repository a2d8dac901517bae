// Comma-separated values as our own tools read them: one record a line, no quoting; empty lines and lines
// that begin with # are skipped.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace yokestream::csv {

using Cells = std::vector<std::string>;
// Calls `take` with each line's cells. What it throws comes out as std::runtime_error that begins with "line
// N: ".
void for_each_record(const std::string& text, std::size_t cells,
                     const std::function<void(const Cells&)>& take);
double parse_number(const std::string& cell);    // throws std::runtime_error where it is none, or below 0
std::string read_file(const std::string& path);  // throws std::runtime_error

}  // namespace yokestream::csv
