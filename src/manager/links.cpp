#include "manager/links.h"

namespace yokestream::manager {

// Guards against three mix-ups. An engine gets the client's id, so a link that carries or has given up the
// same id could bring the earlier attempt's answer for the new one's. A link that says nothing while
// something runs there may lead nowhere: a new connection shows whether it does. And a full one is full.
bool Links::fits(Time now, const Link& link, const std::string& request_id) const {
  if (link.carries.size() >= bounds_.streams || link.stopped.size() >= bounds_.stopped) return false;
  if (link.carries.count(request_id) || link.stopped.count(request_id)) return false;
  return link.carries.empty() || bounds_.silence <= Duration{} || now - link.heard < bounds_.silence;
}

std::optional<LinkId> Links::pick(Time now, const std::string& uid, const EngineRecord& engine,
                                  const std::string& request_id, Time dial_deadline) {
  std::optional<LinkId> dialing;
  for (const auto& [id, link] : links_) {
    if (link.uid != uid || link.endpoint != engine.endpoint || link.boot_ms != engine.boot_ms) continue;
    if (!fits(now, link, request_id)) continue;
    if (link.up) return id;
    if (!dialing) dialing = id;
  }
  if (dialing) return dialing;
  if (links_.size() >= bounds_.links) return std::nullopt;
  const LinkId id{++last_};
  links_.emplace(id, Link{uid, engine.endpoint, engine.boot_ms, false, {}, {}, now});
  port_.open(id, engine.endpoint, dial_deadline);
  return id;
}

Link* Links::find(LinkId id) {
  const auto it = links_.find(id);
  return it == links_.end() ? nullptr : &it->second;
}

void Links::carry(Time now, LinkId id, const std::string& request_id, lynxstand::QueryId query) {
  Link& link = links_.at(id);
  if (link.carries.empty()) link.heard = now;
  link.carries.emplace(request_id, query);
}

void Links::release(Time now, LinkId id, const std::string& request_id, bool late_answer) {
  Link* link = find(id);
  if (!link) return;
  link->carries.erase(request_id);
  if (late_answer) link->stopped.insert(request_id);
  if (link->carries.empty()) link->heard = now;
}

void Links::sweep(Time now, const Directory& directory) {
  for (auto it = links_.begin(); it != links_.end();) {
    const Link& link = it->second;
    const EngineRecord* engine = directory.usable(link.uid);
    const bool current = engine && engine->endpoint == link.endpoint && engine->boot_ms == link.boot_ms;
    const bool stale = !current || (bounds_.idle > Duration{} && now - link.heard >= bounds_.idle) ||
                       link.stopped.size() >= bounds_.stopped;
    if (link.up && link.carries.empty() && stale) {
      port_.close(it->first);
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace yokestream::manager
