#include "coordination/shares.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace yokestream::coordination {
namespace {

constexpr double kWorthTelling = 0.05;  // a part that would change by less stays as it is

}  // namespace

bool Shares::acknowledged(const Table& table, const std::map<std::string, Fact>& living,
                          const std::string& duty) {
  return std::all_of(living.begin(), living.end(), [&](const auto& session) {
    if (!table.parts.count(session.first)) return true;  // acts on its even part at most
    const auto seen = session.second.seen.find(duty);
    return seen != session.second.seen.end() && seen->second >= table.epoch;
  });
}

// By name: a manager that was started again may have two sessions for a while, and has one even part.
std::size_t Shares::managers(const std::map<std::string, Fact>& living) const {
  std::set<std::string> names;
  for (const auto& [session, fact] : living) names.insert(fact.name);
  return std::min(names.size(), told_);
}

// Parts that shrink do so now, and parts that grow share what was free before: what is given up now is free
// for the table after this one. So at each moment between the two the sum of the larger ones is within.
std::optional<Table> Shares::next(const Table& table, const std::map<std::string, Fact>& living) const {
  const auto count = static_cast<Part>(managers(living));
  const Part all = count * even();
  double traffic = 0;
  for (const auto& [session, fact] : living) traffic += std::max(0.0, fact.traffic);
  // A newcomer is let in with what is left over while the other newcomers still count on their even parts.
  Part held = 0, newcomers = 0;
  for (const auto& [session, fact] : living) {
    const auto had = table.parts.find(session);
    held += had != table.parts.end() ? had->second : 0;
    newcomers += had == table.parts.end();
  }
  const Part entry = newcomers > 0 ? std::clamp(all - held - (newcomers - 1) * even(), least(), even()) : 0;
  Table out{table.epoch + 1, table.term, {}};
  std::map<std::string, Part> wanted;
  Part in_force = 0, missing = 0;
  for (const auto& [session, fact] : living) {
    const auto had = table.parts.find(session);
    const Part now = had != table.parts.end() ? had->second : entry;
    // the least for each, the rest by traffic: within `all`, as the least is half of the even part
    const double by =
        traffic > 0 ? std::max(0.0, fact.traffic) / traffic : 1 / static_cast<double>(living.size());
    const auto aim = least() + static_cast<Part>(static_cast<double>(all - count * least()) * by);
    auto want = now + static_cast<Part>(kDamp * static_cast<double>(aim - now));
    if (std::abs(static_cast<double>(aim - now)) < kWorthTelling * static_cast<double>(now)) want = now;
    want = std::max(want, least());
    wanted[session] = want;
    in_force += had != table.parts.end() ? now : even();  // until it acts on this table
    missing += std::max<Part>(0, want - now);
    out.parts[session] = now;
  }
  const Part free = std::max<Part>(0, all - in_force);
  // A session went, or was never counted: the others have more than is theirs, and shrink together.
  const double shrink = in_force > all ? static_cast<double>(all) / static_cast<double>(in_force) : 1;
  for (auto& [session, part] : out.parts) {
    const Part want = wanted[session];
    if (want > part)
      part += missing <= free || (without_ & Settings::kFree)
                  ? want - part
                  : static_cast<Part>(static_cast<double>(free) * static_cast<double>(want - part) /
                                      static_cast<double>(missing));
    else
      part = want;
    if (shrink < 1)
      part = std::max(least(), std::min(part, static_cast<Part>(static_cast<double>(part) * shrink)));
  }
  if (out.parts == table.parts) return std::nullopt;
  return out;
}

}  // namespace yokestream::coordination
