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

std::optional<SessionId> Sessions::begin(Time now, SessionId id) {
  std::optional<SessionId> victim;
  if (sessions_.size() >= bounds_.sessions * 3 / 4) {
    Session* least =
        nullptr;  // who was never answered goes before who was, and then the one idle for longest
    for (auto& [other, session] : sessions_) {
      if (session.open > 0 || session.closing) continue;
      if (least && std::pair(session.answered, session.last) >= std::pair(least->answered, least->last))
        continue;
      least = &session, victim = other;
    }
    if (least) least->closing = true;
  }
  Session& session = sessions_[id];
  session.since = session.last = now;
  return victim;
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

void Sessions::answered(Time now, SessionId id) {
  if (Session* session = find(id)) session->answered = true, session->last = now;
}

void Sessions::served(Time now, SessionId id) {
  answered(now, id);
  if (Session* session = find(id)) session->served = true;
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

void Sessions::keep(SessionId id) {
  if (Session* session = find(id)) session->closing = false;
}

std::vector<SessionId> Sessions::overdue(Time now) {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (session.open > 0 || session.closing) continue;
    const bool over =
        session.answered ? now - session.last >= bounds_.idle : now - session.since >= bounds_.first_within;
    if (over) session.closing = true, out.push_back(id);
  }
  return out;
}

}  // namespace yokestream::manager
