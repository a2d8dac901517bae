// The list of engines, and the sums over it.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr Duration kLoadOverdue = milliseconds(3000);   // past its estimate: the end of a load is lost
constexpr Duration kForget = std::chrono::seconds(60);  // after its last word: an engine that is gone
constexpr Duration kFollowLeast = milliseconds(250);    // before the list is asked for again
constexpr int kFollowParts = 16;                        // of the time within which it has to be

}  // namespace

void AdmissionController::Impl::on(const EngineList& list) {
  if (list.kind == EngineListKind::failed)
    return act(
        StartTimer{std::max<Duration>(kFollowLeast, s.engine_list_request_deadline / kFollowParts), 1});
  if (list.kind != EngineListKind::delta) {
    std::set<std::string> named;
    for (const auto& entry : list.entries) named.insert(entry.engine.name);
    for (auto& [name, e] : engines) {
      if (!named.count(name)) e.entry.state = EngineState::gone;
    }
  }
  for (const auto& entry : list.entries) note_entry(entry);
  refresh_views();
}

void AdmissionController::Impl::refresh_views() {
  // Danger: engines are replaced for good under new names, and what is kept of them grows. One that comes
  // back soon is still known.
  const auto forgotten = [&](const Engine& e) {
    return e.entry.state == EngineState::gone && e.running.empty() &&
           now - std::max(e.heard, kLongAgo) > kForget;
  };
  std::erase_if(by_hash, [&](const auto& known) { return forgotten(*known.second); });
  std::erase_if(engines, [&](const auto& known) { return forgotten(known.second); });
  cores = 0;
  double up = 0;
  for (auto& [name, e] : engines) {
    std::erase_if(e.loads, [&](const auto& l) { return now > l.second.second + kLoadOverdue; });
    e.sum_told(now, s.classes);
    e.warm = warmth(e);
    if (e.entry.state == EngineState::up) cores += e.cores * e.warm, ++up;
  }
  view_pool();
  mean_part = up > 0 ? cores * share / up : 0;
  if (pool_bound == 0) pool_bound = cores * share;
}

void AdmissionController::Impl::note_entry(const EngineEntry& entry) {
  auto it = engines.find(entry.engine.name);
  const bool is_new = it == engines.end();
  if (is_new) it = engines.emplace(entry.engine.name, Engine(classes.size())).first;
  Engine& e = it->second;
  const bool restarted = !is_new && entry.start_time && entry.start_time != e.entry.start_time;
  e.entry = entry;
  if (is_new) {
    e.full_backoff = kFullLeast;
    e.backoff = kBackoffLeast;
    by_hash.emplace(short_hash(entry.engine.name), &e);
    const std::size_t kind = pos(entry.kind);
    if (kind < kinds.size()) {
      e.cores = s.kinds[kind].cores;
      e.memory = s.kinds[kind].memory_mb;
      e.interference = kinds[kind];
    }
    e.part = share;
    e.bound = std::max(1.0, e.cores * share);
    if (const auto known = handed.extract(entry.engine.name)) know(e, known.mapped());
  }
  if (entry.start_time && (is_new || restarted)) {
    if (!e.cold_since || *entry.start_time > *e.cold_since) {
      e.cold_since = *entry.start_time;
      e.cold_turn = now;
      e.cold_wait = s.manager_count > 1 ? draw() : 0;
    }
  }
  if (restarted) e.ejected = false, e.failure_ratio = 0, e.backoff = kBackoffLeast, e.heard = now;
}

}  // namespace yokestream::policy
