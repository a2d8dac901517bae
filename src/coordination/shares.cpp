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

bool LoadShareCalculator::acknowledged(const LoadShareTable& table,
                                       const std::map<std::string, MemberRecord>& living,
                                       const std::string& duty) {
  return std::all_of(living.begin(), living.end(), [&](const auto& session) {
    if (!table.shares.count(session.first)) return true;  // acts on its even part at most
    const auto seen = session.second.acknowledged_epochs.find(duty);
    return seen != session.second.acknowledged_epochs.end() && seen->second >= table.epoch;
  });
}

// By name: a manager that was started again may have two sessions for a while, and has one even part.
std::size_t LoadShareCalculator::manager_count(const std::map<std::string, MemberRecord>& living) const {
  std::set<std::string> names;
  for (const auto& [session, fact] : living) names.insert(fact.name);
  return std::min(names.size(), told_);
}

// Parts that shrink do so now, and parts that grow share what was free before: what is given up now is free
// for the table after this one. So at each moment between the two the sum of the larger ones is within.
std::optional<LoadShareTable> LoadShareCalculator::next_table(
    const LoadShareTable& table, const std::map<std::string, MemberRecord>& living) const {
  const auto count = static_cast<LoadShare>(manager_count(living));
  const LoadShare all = count * even_share();
  double traffic = 0;
  for (const auto& [session, fact] : living) traffic += std::max(0.0, fact.requests_per_s);
  // A newcomer is let in with what is left over while the other newcomers still count on their even parts.
  LoadShare held = 0, newcomers = 0;
  for (const auto& [session, fact] : living) {
    const auto had = table.shares.find(session);
    held += had != table.shares.end() ? had->second : 0;
    newcomers += had == table.shares.end();
  }
  const LoadShare entry =
      newcomers > 0 ? std::clamp(all - held - (newcomers - 1) * even_share(), min_share(), even_share()) : 0;
  LoadShareTable out{table.epoch + 1, table.fencing_token, {}};
  std::map<std::string, LoadShare> wanted;
  LoadShare in_force = 0, missing = 0;
  for (const auto& [session, fact] : living) {
    const auto had = table.shares.find(session);
    const LoadShare now = had != table.shares.end() ? had->second : entry;
    // the least for each, the rest by traffic: within `all`, as the least is half of the even part
    const double by =
        traffic > 0 ? std::max(0.0, fact.requests_per_s) / traffic : 1 / static_cast<double>(living.size());
    const auto aim =
        min_share() + static_cast<LoadShare>(static_cast<double>(all - count * min_share()) * by);
    auto want = now + static_cast<LoadShare>(kDamp * static_cast<double>(aim - now));
    if (std::abs(static_cast<double>(aim - now)) < kWorthTelling * static_cast<double>(now)) want = now;
    want = std::max(want, min_share());
    wanted[session] = want;
    in_force += had != table.shares.end() ? now : even_share();  // until it acts on this table
    missing += std::max<LoadShare>(0, want - now);
    out.shares[session] = now;
  }
  const LoadShare free = std::max<LoadShare>(0, all - in_force);
  // A session went, or was never counted: the others have more than is theirs, and shrink together.
  const double shrink = in_force > all ? static_cast<double>(all) / static_cast<double>(in_force) : 1;
  for (auto& [session, part] : out.shares) {
    const LoadShare want = wanted[session];
    if (want > part)
      part += missing <= free || (without_ & Settings::kFree)
                  ? want - part
                  : static_cast<LoadShare>(static_cast<double>(free) * static_cast<double>(want - part) /
                                           static_cast<double>(missing));
    else
      part = want;
    if (shrink < 1)
      part =
          std::max(min_share(), std::min(part, static_cast<LoadShare>(static_cast<double>(part) * shrink)));
  }
  if (out.shares == table.shares) return std::nullopt;
  return out;
}

}  // namespace yokestream::coordination
