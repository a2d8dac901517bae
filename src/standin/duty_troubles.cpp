// What goes wrong in a DutyWorld, and what is seen of it.
#include <algorithm>

#include "base/json.h"
#include "standin/duty_process.h"
#include "standin/pool.h"

namespace yokestream::standin {

void DutyWorld::start(std::size_t at) {
  Process& p = *processes_[at];
  if (p.lives) return;
  ++p.life, ++p.call;
  p.lives = true, p.stopped = false, p.held.clear(), p.watches = {}, p.acting = {};
  p.fleet.reset();  // it uses the mover
  p.mover = std::make_unique<migration::MigrationTask>(settings_.edges.longest, settings_.duty.clock_drift,
                                                       settings_.edges.without);
  std::vector<coordination::LeaderTask*> duties;  // as in net/coordination_thread.cpp: where areas may move
  if (settings_.edges.areas > 0) duties.push_back(p.mover.get());
  p.fleet = std::make_unique<FleetMember>(settings_.duty, numbered("n", at), "1", settings_.processes,
                                          local(p), std::move(duties));
  p.edge = std::make_unique<Edge>(settings_.edges, numbered("n", at));
  p.addresses = std::make_unique<store::EndpointRotation>(std::vector<config::Endpoint>(1), random_(),
                                                          settings_.duty.reconnect_spread);
  p.acting = p.fleet->load_grant();
  turn(at);
  if (settings_.edges.areas > 0) send(at);
}
void DutyWorld::ended(std::size_t p) {
  if (owner() == p) vacant_since_ = now_;
}
void DutyWorld::kill(std::size_t p) {
  ended(p);
  processes_[p]->lives = false;
  ++processes_[p]->life;
}
void DutyWorld::stop(std::size_t p) { ended(p), processes_[p]->stopped = true; }
void DutyWorld::go_on(std::size_t p) {
  Process& process = *processes_[p];
  process.stopped = false;
  for (auto& what : std::exchange(process.held, {})) what();
  turn(p);
}
void DutyWorld::cut(std::size_t p, bool there, bool back) {
  if (!there || !back) ended(p);
  processes_[p]->there = there, processes_[p]->back = back;
  pump(p);
}
void DutyWorld::traffic(std::size_t p, double per_s) { processes_[p]->traffic = per_s, turn(p); }
void DutyWorld::leave(std::size_t p) {
  ended(p);
  if (processes_[p]->lives) processes_[p]->fleet->begin_leaving(), turn(p);
}

void DutyWorld::trouble(std::size_t p, std::uint64_t which, double per_s) {
  if (which == 0) kill(p);
  if (which <= 2) start(p);
  if (which == 3) stop(p);
  if (which == 4 || which == 5) go_on(p);
  if (which == 6) cut(p, false, true);
  if (which == 7) cut(p, true, false);
  if (which == 8) cut(p, true, true), traffic(p, per_s);
}

void DutyWorld::all_well(Duration since_start) {
  for (std::size_t p = 0; p < processes_.size(); ++p)
    at(since_start, [this, p] { cut(p, true, true), go_on(p), start(p); });
}

void DutyWorld::ask(const std::string& what, const std::string& text) {
  const std::string key = coordination::StoreKeys(settings_.duty.key_prefix).operator_requests() + what;
  store_.handle(now_, store::Txn{{}, {store::Put{key, text, store::LeaseId::none}}, {}});
  changed();
}

void DutyWorld::propose(const migration::Plan& plan) {
  moves_.plan(plan);
  ask(migration::kPlanRequestPrefix + plan.name, base::write_json(migration::to_json(plan)));
}

// ---- what is seen

migration::MigrationRecord DutyWorld::migrations() const {
  const auto all = store_.range(
      {coordination::StoreKeys(settings_.duty.key_prefix).task_state(migration::MigrationTask::kName),
       {},
       0});
  return all.empty() ? migration::MigrationRecord{}
                     : migration::decode_record(all.front().value).value_or(migration::MigrationRecord{});
}

std::optional<std::size_t> DutyWorld::owner() const {
  const coordination::StoreKeys names(settings_.duty.key_prefix);
  const std::string line = names.candidates(FleetMember::kLoadShareTask);
  const auto all = store_.range({line, store::prefix_range_end(line), 0});
  const auto first = std::min_element(all.begin(), all.end(),
                                      [](auto& a, auto& b) { return a.create_revision < b.create_revision; });
  if (first == all.end()) return std::nullopt;
  for (std::size_t p = 0; p < processes_.size(); ++p)
    if (lives(p) && names.candidates(FleetMember::kLoadShareTask) +
                            coordination::session_name(fleet(p).session_lease()) ==
                        first->key)
      return p;
  return std::nullopt;
}
const FleetMember& DutyWorld::fleet(std::size_t p) const { return *processes_[p]->fleet; }
bool DutyWorld::lives(std::size_t p) const { return processes_[p]->lives; }
double DutyWorld::part(std::size_t at) const {
  const Process& p = *processes_[at];
  if (!p.lives) return 0;
  return static_cast<double>(p.acting.share_at(local(p))) / static_cast<double>(coordination::kFullLoad);
}

}  // namespace yokestream::standin
