// The duty `shares`: which part of the fleet's load each manager may count on, by what the living ones say
// of their traffic, instead of one over the count that the platform tells.
//
// Rule: the parts in force never sum up to more than the whole, whoever is slow, silent, cut off or started
// again. A part grows only by what is certainly free: the owner publishes a table, waits until each living
// session says that it acts on it or its lease has ended (S3), and only then publishes the next. Who is not
// heard of keeps the least of what it had and its even part, so that much is never given away; nobody has
// less than half of its even part, with which a newcomer begins. Parts are whole billionths. Managers are
// told apart by name, and each of a fleet has its own. Pure. Memory: one number a session, kMostProcesses at
// most.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/names.h"

namespace yokestream::coordination {

using LoadShare = std::int64_t;
inline constexpr LoadShare kFullLoad = 1'000'000'000;

struct LoadShareTable {
  std::int64_t epoch = 0;
  store::Revision fencing_token = 0;        // of the owner that wrote it (S1)
  std::map<std::string, LoadShare> shares;  // by session
  bool operator==(const LoadShareTable&) const = default;
};
std::string encode(const LoadShareTable& table);
std::optional<LoadShareTable> decode_load_share_table(std::string_view text);  // nullopt: it makes no sense

class LoadShareCalculator {
 public:
  static constexpr double kDamp = 0.3;  // of the way to what traffic asks for, a table

  // `told`: managers that the platform tells of, one at least. `without`: Settings::without.
  explicit LoadShareCalculator(std::size_t told, unsigned without = 0) : told_(told), without_(without) {}
  LoadShare even_share() const { return kFullLoad / static_cast<LoadShare>(told_); }
  LoadShare min_share() const { return even_share() / 2; }

  // Of the living, at most as many as are told.
  std::size_t manager_count(const std::map<std::string, MemberRecord>& living) const;
  // Whether all living sessions act on this table.
  static bool acknowledged(const LoadShareTable& table, const std::map<std::string, MemberRecord>& living,
                           const std::string& duty);
  // The table that may follow, once it is acknowledged; nullopt: it would be the same.
  std::optional<LoadShareTable> next_table(const LoadShareTable& table,
                                           const std::map<std::string, MemberRecord>& living) const;

 private:
  const std::size_t told_;
  const unsigned without_;
};

}  // namespace yokestream::coordination
