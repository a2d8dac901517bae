// yokestream_golden: compares what this program does and writes with hashes and files of an earlier one.
//
//   yokestream_golden check HASHES STORED TRAFFIC    exits with 1 and names what differs
//   yokestream_golden print TRAFFIC                  the hashes, as hashes.txt holds them
//   yokestream_golden store FOLDER                   writes the stored forms
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "golden.h"

namespace {

using yokestream::golden::Golden;

std::vector<Golden> all_goldens(const std::string& traffic) {
  namespace golden = yokestream::golden;
  std::vector<Golden> out = golden::wire_bytes();
  for (auto part :
       {golden::module_streams(), golden::fleet_streams(), golden::pool_streams(),
        golden::queue_streams(traffic), golden::coordination_streams(), golden::migration_streams()})
    out.insert(out.end(), part.begin(), part.end());
  return out;
}

std::string text_of(const Golden& golden) {
  char text[128];
  std::snprintf(text, sizeof text, "%s %016" PRIx64 " %zu", golden.name.c_str(), golden.hash, golden.lines);
  return text;
}

int check(const std::string& hashes, const std::string& stored, const std::string& traffic) {
  std::ifstream in(hashes);
  std::size_t differing = 0, compared = 0;
  for (const Golden& golden : all_goldens(traffic)) {
    std::string expected;
    std::getline(in, expected);
    ++compared;
    if (expected == text_of(golden)) continue;
    ++differing;
    std::cout << "expected " << expected << "\n     got " << text_of(golden) << "\n";
  }
  std::string rest;
  while (std::getline(in, rest)) {
    ++differing;
    std::cout << "not played: " << rest << "\n";
  }
  for (const auto& problem : yokestream::golden::check_stored(stored)) {
    ++differing;
    std::cout << problem << "\n";
  }
  std::cout << compared << " hashes compared, " << differing << " differences\n";
  return differing == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 4 && arguments[0] == "check")
    return check(arguments[1], arguments[2], arguments[3]);
  if (arguments.size() == 2 && arguments[0] == "print") {
    for (const Golden& golden : all_goldens(arguments[1])) std::cout << text_of(golden) << "\n";
    return 0;
  }
  if (arguments.size() == 2 && arguments[0] == "store") {
    yokestream::golden::write_stored(arguments[1]);
    return 0;
  }
  std::cerr << "usage: yokestream_golden check HASHES STORED TRAFFIC | print TRAFFIC | store FOLDER\n";
  return 2;
}
