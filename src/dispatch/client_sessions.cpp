#include "dispatch/client_sessions.h"

#include <algorithm>

namespace yokestream::dispatch {

ClientSessions::Session* ClientSessions::find(SessionId id) {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

const ClientSessions::Session* ClientSessions::find(SessionId id) const {
  const auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

// Who was never served goes before who was, and then the one idle for longest.
std::optional<SessionId> ClientSessions::victim() {
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

std::optional<SessionId> ClientSessions::begin(Time now, SessionId id, std::uint64_t origin) {
  const auto out = crowded() ? victim() : std::nullopt;
  Session& session = sessions_[id];
  session.origin = origin;
  session.since = session.last = now;
  return out;
}

std::uint64_t ClientSessions::origin(SessionId id) const {
  const Session* session = find(id);
  return session ? session->origin : 0;
}

bool ClientSessions::may_open(SessionId id) const {
  const Session* session = find(id);
  return session && session->open < (session->served   ? bounds_.open
                                     : session->blamed ? 1
                                                       : bounds_.open_at_first);
}

void ClientSessions::opened(Time now, SessionId id) {
  if (Session* session = find(id)) ++session->open, session->last = now;
}

void ClientSessions::closed(Time now, SessionId id) {
  if (Session* session = find(id)) --session->open, session->last = now;
}

bool ClientSessions::answered(Time now, SessionId id) {
  Session* session = find(id);
  if (!session) return false;
  session->answered = true, session->last = now;
  return ++session->answers >= bounds_.unserved && !session->served && session->open == 0;
}

void ClientSessions::served(Time now, SessionId id) {
  if (Session* session = find(id)) session->served = true;
  answered(now, id);
}

bool ClientSessions::proven(SessionId id) const {
  const Session* session = find(id);
  return session && session->served;
}

void ClientSessions::blame(Time now, SessionId id) {
  if (Session* session = find(id)) session->blamed = now;
}

bool ClientSessions::suspect(Time now, SessionId id) const {
  const Session* session = find(id);
  return session && session->blamed && !session->served && now - *session->blamed < bounds_.suspicion;
}

bool ClientSessions::closing() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s.second.closing; });
}

void ClientSessions::keep(SessionId id) {
  if (Session* session = find(id)) session->closing = false;
}

void ClientSessions::stall(SessionId id) {
  if (Session* session = find(id)) session->stalled = true;
}

std::vector<SessionId> ClientSessions::settled() {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (!session.stalled || session.open > 0 || session.closing) continue;
    session.closing = true;
    out.push_back(id);
  }
  return out;
}

std::vector<SessionId> ClientSessions::overdue(Time now, std::optional<Duration> spared) {
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

}  // namespace yokestream::dispatch
