#include "migration/status.h"

#include <cstdio>

#include "migration/tally.h"

namespace yokestream::migration {
namespace {

std::string number(TableGroupId area) { return std::to_string(static_cast<std::uint64_t>(area)); }

std::string word(const PlanProgress& running, std::size_t step) {
  const std::size_t n = running.plan.stages.size();
  if (step == 0) return "at its old side";
  if (step <= n) return "stage " + std::to_string(step) + " of " + std::to_string(n);
  return step == running.done_step() ? "there" : "loads stopped";
}

std::string waits(const PlanProgress& running, std::size_t i) {
  std::string out;
  for (const auto area : running.plan.moves[i].after)
    for (std::size_t j = 0; j < running.steps.size(); ++j)
      if (running.plan.moves[j].area == area && running.steps[j] != running.done_step())
        out += (out.empty() ? ", waits for area " : " ") + number(area);
  return running.steps[i] == 0 && !running.rolling_back ? out : "";
}

std::string gate(const PlanProgress& running,
                 const std::map<std::string, coordination::MemberRecord>& living) {
  if (!running.plan.gate) return "";
  std::vector<std::int64_t> sum;
  add(sum, {}, 1);
  for (const auto& [session, fact] : living)
    if (const auto it = fact.tallies.find(running.plan.name); it != fact.tallies.end())
      add(sum, it->second, 1);
  char text[160];
  std::snprintf(text, sizeof text,
                "  gate: %lld of %lld served on the side left behind, %lld of %lld on the new one, since the"
                " sessions began\n",
                static_cast<long long>(sum[1]), static_cast<long long>(sum[0]),
                static_cast<long long>(sum[5]), static_cast<long long>(sum[4]));
  return text;
}

}  // namespace

std::string status(const MigrationRecord& record,
                   const std::map<std::string, coordination::MemberRecord>& living, const std::string& duty,
                   const std::map<std::string, std::string>& asked) {
  std::string out = record.epoch < 0 ? "no owner has written anything yet\n"
                                     : "epoch " + std::to_string(record.epoch) + " of term " +
                                           std::to_string(record.fencing_token) + ", " +
                                           std::to_string(record.roster.size()) + " edges\n";
  for (const auto& [session, name] : record.roster) {
    const auto it = living.find(session);
    if (it == living.end()) {
      out += "waits for edge " + name + ": its session has ended, what it sent may still run\n";
      continue;
    }
    const auto seen = it->second.acknowledged_epochs.find(duty);
    if (seen == it->second.acknowledged_epochs.end() || seen->second < record.epoch)
      out += "waits for edge " + name + ": it does not act on this epoch yet\n";
  }
  for (const PlanProgress& running : record.plans) {
    out += "plan " + running.plan.name + ": " +
           (running.halted         ? "halted"
            : running.rolling_back ? "on its way back"
                                   : "under way") +
           (running.cause.empty() ? "" : ": " + running.cause) + "\n";
    for (std::size_t i = 0; i < running.steps.size(); ++i)
      out += "  area " + number(running.plan.moves[i].area) + ": " + word(running, running.steps[i]) +
             waits(running, i) + "\n";
    out += gate(running, living);
  }
  for (const auto& [name, why] : record.outcomes) out += "plan " + name + ": " + why + "\n";
  for (const auto& [what, text] : asked) out += "asked, not answered by an owner yet: " + what + "\n";
  return out;
}

}  // namespace yokestream::migration
