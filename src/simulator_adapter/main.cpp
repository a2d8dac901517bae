#include <iostream>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return yokestream::simulator_adapter::run(std::cin, std::cout, std::cerr);
}
