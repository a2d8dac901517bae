#include "base/csv.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace yokestream::csv {

void for_each_record(const std::string& text, std::size_t cell_count,
                     const std::function<void(const Cells&)>& handle_record) {
  std::istringstream in(text);
  int line_number = 0;
  for (std::string line; std::getline(in, line);) {
    ++line_number;
    if (line.empty() || line[0] == '#') continue;
    Cells cells;
    std::stringstream row(line);
    for (std::string cell; std::getline(row, cell, ',');) cells.push_back(cell);
    try {
      if (cells.size() != cell_count)
        throw std::runtime_error("not " + std::to_string(cell_count) + " cells");
      handle_record(cells);
    } catch (const std::exception& problem) {
      throw std::runtime_error("line " + std::to_string(line_number) + ": " + problem.what());
    }
  }
}

double parse_number(const std::string& cell) {
  try {
    std::size_t end = 0;
    const double value = std::stod(cell, &end);
    if (end == cell.size() && value >= 0) return value;
  } catch (const std::logic_error&) {
  }
  throw std::runtime_error("expected a number of 0 or more, found: " + cell);
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  return text.str();
}

}  // namespace yokestream::csv
