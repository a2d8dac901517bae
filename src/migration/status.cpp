#include "migration/status.h"

#include <cstdio>

#include "migration/outcome_gate.h"

namespace yokestream::migration {
namespace {

std::string area_text(TableGroupId area) { return std::to_string(static_cast<std::uint64_t>(area)); }

std::string step_text(const PlanProgress& progress, std::size_t step) {
  const std::size_t n = progress.plan.stages.size();
  if (step == 0) return "at its source";
  if (step <= n) return "stage " + std::to_string(step) + " of " + std::to_string(n);
  return step == progress.done_step() ? "there" : "loads stopped";
}

std::string prerequisite_text(const PlanProgress& progress, std::size_t i) {
  std::string out;
  for (const auto area : progress.plan.moves[i].after)
    for (std::size_t j = 0; j < progress.steps.size(); ++j)
      if (progress.plan.moves[j].area == area && progress.steps[j] != progress.done_step())
        out += (out.empty() ? ", waits for area " : " ") + area_text(area);
  return progress.steps[i] == 0 && !progress.rolling_back ? out : "";
}

std::string gate_text(const PlanProgress& progress,
                      const std::map<std::string, coordination::MemberRecord>& live_members) {
  if (!progress.plan.gate) return "";
  std::vector<std::int64_t> sum;
  add_tally(sum, {}, 1);
  for (const auto& [session, member] : live_members)
    if (const auto entry = member.tallies.find(progress.plan.name); entry != member.tallies.end())
      add_tally(sum, entry->second, 1);
  char text[160];
  std::snprintf(text, sizeof text,
                "  gate: %lld of %lld served at the source, %lld of %lld at the target, since the sessions"
                " started\n",
                static_cast<long long>(sum[1]), static_cast<long long>(sum[0]),
                static_cast<long long>(sum[5]), static_cast<long long>(sum[4]));
  return text;
}

}  // namespace

std::string format_status(const MigrationRecord& record,
                          const std::map<std::string, coordination::MemberRecord>& live_members,
                          const std::string& task,
                          const std::map<std::string, std::string>& pending_requests) {
  std::string out = record.epoch < 0 ? "no leader has written a record yet\n"
                                     : "epoch " + std::to_string(record.epoch) + " of term " +
                                           std::to_string(record.fencing_token) + ", " +
                                           std::to_string(record.roster.size()) + " edges\n";
  for (const auto& [session, name] : record.roster) {
    const auto entry = live_members.find(session);
    if (entry == live_members.end()) {
      out += "waits for edge " + name + ": its session has ended, its requests may still be running\n";
      continue;
    }
    const auto acknowledgement = entry->second.acknowledged_epochs.find(task);
    if (acknowledgement == entry->second.acknowledged_epochs.end() || acknowledgement->second < record.epoch)
      out += "waits for edge " + name + ": it has not acknowledged this epoch yet\n";
  }
  for (const PlanProgress& progress : record.plans) {
    out += "plan " + progress.plan.name + ": " +
           (progress.halted         ? "halted"
            : progress.rolling_back ? "rolling back"
                                    : "under way") +
           (progress.cause.empty() ? "" : ": " + progress.cause) + "\n";
    for (std::size_t i = 0; i < progress.steps.size(); ++i)
      out += "  area " + area_text(progress.plan.moves[i].area) + ": " +
             step_text(progress, progress.steps[i]) + prerequisite_text(progress, i) + "\n";
    out += gate_text(progress, live_members);
  }
  for (const auto& [name, outcome] : record.outcomes) out += "plan " + name + ": " + outcome + "\n";
  for (const auto& [request_name, text] : pending_requests)
    out += "request not answered by a leader yet: " + request_name + "\n";
  return out;
}

}  // namespace yokestream::migration
