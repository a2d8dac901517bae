#include "manager/sessions.h"

#include <algorithm>

namespace yokestream::manager {

Sessions::Session* Sessions::find(SessionId id) {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

const Sessions::Session* Sessions::find(SessionId id) const {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

// Who was never served goes before who was, and then the one idle for longest.
std::optional<SessionId> Sessions::victim() {
  std::optional<SessionId> out;
  Session* least = nullptr;
  for (auto& [id, session] : sessions_) {
    if (session.open > 0 || session.closing || session.stalled) continue;
    if (least && std::pair(session.served, session.last) >= std::pair(least->served, least->last)) continue;
    least = &session, out = id;
  }
  if (least) least->closing = true;
  return out;
}

std::optional<SessionId> Sessions::begin(Time now, SessionId id, std::uint64_t origin) {
  const auto out = crowded() ? victim() : std::nullopt;
  Session& session = sessions_[id];
  session.origin = origin;
  session.since = session.last = now;
  return out;
}

std::uint64_t Sessions::origin(SessionId id) const {
  const Session* session = find(id);
  return session ? session->origin : 0;
}

bool Sessions::may_open(SessionId id) const {
  const Session* session = find(id);
  return session && session->open < (session->served   ? bounds_.open
                                     : session->blamed ? 1
                                                       : bounds_.open_at_first);
}

void Sessions::opened(Time now, SessionId id) {
  if (Session* session = find(id)) ++session->open, session->last = now;
}

void Sessions::closed(Time now, SessionId id) {
  if (Session* session = find(id)) --session->open, session->last = now;
}

bool Sessions::answered(Time now, SessionId id) {
  Session* session = find(id);
  if (!session) return false;
  session->answered = true, session->last = now;
  return ++session->answers >= bounds_.unserved && !session->served && session->open == 0;
}

void Sessions::served(Time now, SessionId id) {
  if (Session* session = find(id)) session->served = true;
  answered(now, id);
}

bool Sessions::proven(SessionId id) const {
  const Session* session = find(id);
  return session && session->served;
}

void Sessions::blame(Time now, SessionId id) {
  if (Session* session = find(id)) session->blamed = now;
}

bool Sessions::suspect(Time now, SessionId id) const {
  const Session* session = find(id);
  return session && session->blamed && !session->served && now - *session->blamed < bounds_.suspicion;
}

bool Sessions::closing() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s.second.closing; });
}

void Sessions::keep(SessionId id) {
  if (Session* session = find(id)) session->closing = false;
}

void Sessions::stall(SessionId id) {
  if (Session* session = find(id)) session->stalled = true;
}

std::vector<SessionId> Sessions::settled() {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (!session.stalled || session.open > 0 || session.closing) continue;
    session.closing = true;
    out.push_back(id);
  }
  return out;
}

std::vector<SessionId> Sessions::overdue(Time now, std::optional<Duration> spared) {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (session.open > 0 || session.closing || session.stalled) continue;
    const Duration silence = now - (session.answered ? session.last : session.since);
    const Duration usual = session.answered ? bounds_.idle : bounds_.first_within;
    const bool over = silence >= (!spared ? usual : session.answered ? *spared : bounds_.fresh);
    if (over) session.closing = true, out.push_back(id);
  }
  // Where none is accepted any more no new one makes room for itself.
  if (crowded()) {
    if (const auto id = victim()) out.push_back(*id);
  }
  return out;
}

}  // namespace yokestream::manager
