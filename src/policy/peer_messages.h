// The messages by which managers announce the queries that they run to their peers.
//
// Every byte costs time at every receiver. Engines and table groups are therefore sent as 16 bits, and memory
// and time as logarithms, which are accurate to a few percent.
//
//   bytes    0-1     2          3                      4                5-6
//   started  engine  class + 1  memory, MB             remaining, s/10  table group, if locked
//   ended    engine  0          queries, 255: unknown
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

struct PeerQueryStarted {
  std::uint16_t engine_hash = 0;
  std::size_t class_index = 0;
  double memory_mb = 0;
  double remaining_s = 0;
  std::optional<TableGroupId> locked_tables;
};
struct PeerQueryEnded {
  std::uint16_t engine_hash = 0;
  std::optional<double> reported_queries;  // of all managers, in the load report of the answer
};

std::uint16_t engine_hash(const std::string& name);
std::string encode(const PeerQueryStarted& message);
std::string encode(const PeerQueryEnded& message);
// Return nullopt if the payload is not such a message.
std::optional<PeerQueryStarted> decode_started(const std::string& payload, std::size_t classes);
std::optional<PeerQueryEnded> decode_ended(const std::string& payload);

}  // namespace yokestream::policy
