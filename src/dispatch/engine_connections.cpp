#include "dispatch/engine_connections.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

constexpr std::string_view kAlive = "alive";

}  // namespace

// Guards against two things. One spoilt answer, or one reset, ends all that runs on its connection: so an
// attempt gets a connection of its own as long as there are some, and shares the least used one after that.
// And an engine gets the client's id, so a link that has carried this request before could bring the earlier
// attempt's answer, or a second copy of it, for the new one's.
std::optional<EngineConnectionId> EngineConnections::pick(Time now, const std::string& uid,
                                                          const EngineRecord& engine,
                                                          const std::vector<EngineConnectionId>& but,
                                                          Time dial_deadline) {
  std::optional<EngineConnectionId> best;
  const EngineConnection* least = nullptr;
  for (const auto& [id, link] : links_) {
    if (link.uid != uid || link.endpoint != engine.endpoint || link.boot_ms != engine.boot_ms) continue;
    if (link.carries.size() >= bounds_.streams || link.unheard > 0) continue;
    if (std::find(but.begin(), but.end(), id) != but.end()) continue;
    const auto rank = [](const EngineConnection& l) { return std::tuple(l.carries.size(), !l.up); };
    if (!least || rank(link) < rank(*least)) least = &link, best = id;
  }
  if (least && least->carries.empty()) return best;
  if (links_.size() >= bounds_.links && !close_one_idle()) return best;
  const EngineConnectionId id{++last_};
  links_.emplace(id, EngineConnection{uid, engine.endpoint, engine.boot_ms, false, {}, now, 0});
  port_.connect(id, engine.endpoint, dial_deadline);
  return id;
}

bool EngineConnections::close_one_idle() {
  const auto it = std::find_if(links_.begin(), links_.end(),
                               [](const auto& l) { return l.second.up && l.second.carries.empty(); });
  if (it == links_.end()) return false;
  port_.close(it->first);
  links_.erase(it);
  return true;
}

EngineConnection* EngineConnections::find(EngineConnectionId id) {
  const auto it = links_.find(id);
  return it == links_.end() ? nullptr : &it->second;
}

void EngineConnections::carry(Time now, EngineConnectionId id, const std::string& request_id,
                              policy::QueryId query) {
  EngineConnection& link = links_.at(id);
  if (link.carries.empty()) link.heard = now;
  link.carries.emplace(request_id, query);
}

void EngineConnections::release(Time now, EngineConnectionId id, const std::string& request_id) {
  EngineConnection* link = find(id);
  if (!link) return;
  link->carries.erase(request_id);
  if (link->carries.empty()) link->heard = now;
}

// Guards against a connection that stays open and is of no further use: an answer that stopped short and was
// taken for the next ones' bytes, a machine cut off. Notes come seconds apart, so it is asked. Sweeps are
// counted, not time: a core that stood still has not heard what came meanwhile.
std::vector<EngineConnectionId> EngineConnections::sweep(Time now, const EngineDirectory& directory) {
  std::vector<EngineConnectionId> dead;
  for (auto it = links_.begin(); it != links_.end();) {
    EngineConnection& link = it->second;
    const EngineRecord* engine = directory.find_available(link.uid);
    const bool current = engine && engine->endpoint == link.endpoint && engine->boot_ms == link.boot_ms;
    const bool stale = !current || (bounds_.idle > Duration{} && now - link.heard >= bounds_.idle);
    if (link.up && link.carries.empty() && stale) {
      port_.close(it->first);
      it = links_.erase(it);
      continue;
    }
    if (link.up && !link.carries.empty() && now - link.heard >= bounds_.ask_after) {
      if (link.unheard == 0) port_.ping(it->first, kAlive);
      if (++link.unheard > bounds_.sweeps) dead.push_back(it->first);
    }
    ++it;
  }
  return dead;
}

}  // namespace yokestream::dispatch
