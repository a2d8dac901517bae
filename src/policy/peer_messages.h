// The messages by which managers tell each other of the queries that they run (gossip).
//
// Every byte is paid for by every receiver: engines and table groups go by 16 bits, memory and time as
// logarithms, a few percent off.
//
//   bytes  0-1     2          3                 4                5-6
//   begin  engine  class + 1  memory, MB        remaining, s/10  table group, where it is locked
//   end    engine  0          load report, 255: none
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

struct PeerQueryBegan {
  std::uint16_t engine_hash = 0;
  std::size_t class_index = 0;
  double memory_mb = 0;
  double remaining_s = 0;
  std::optional<TableGroupId> locked_tables;
};
struct PeerQueryEnded {
  std::uint16_t engine_hash = 0;
  std::optional<double> reported_queries;  // on the engine, by its report at the end
};

std::uint16_t engine_hash(const std::string& name);
std::string encode(const PeerQueryBegan& message);
std::string encode(const PeerQueryEnded& message);
// nullopt: the payload is no such message.
std::optional<PeerQueryBegan> decode_began(const std::string& payload, std::size_t classes);
std::optional<PeerQueryEnded> decode_ended(const std::string& payload);

}  // namespace yokestream::policy
