// Hashes of what the program does and writes, kept in hashes.txt: a change that should not alter behaviour
// gives the same ones, bit by bit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace yokestream::golden {

struct Golden {
  std::string name;  // without blanks
  std::uint64_t hash = 0;
  std::size_t lines = 0;  // what went into the hash
};

// The event and action streams of the simulations, three seeds each.
std::vector<Golden> fleet_streams();
std::vector<Golden> pool_streams();
std::vector<Golden> queue_streams(const std::string& traffic_path);
std::vector<Golden> coordination_streams();
std::vector<Golden> migration_streams();
// The decision module alone, fed random events of every kind; its actions on the simulator's wire.
std::vector<Golden> module_streams();
// Bytes that go to clients, engines, operators and the store.
std::vector<Golden> wire_bytes();

// Writes what this program stores, one file a form, into `folder`.
void write_stored(const std::string& folder);
// Reads what an earlier program stored in `folder` and writes it again. Empty: the same bytes came out; else
// one line a file that differs or is not understood.
std::vector<std::string> check_stored(const std::string& folder);

}  // namespace yokestream::golden
