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

// One that was never served before one that was, then the one idle for longest.
std::optional<SessionId> ClientSessions::take_victim() {
  std::optional<SessionId> out;
  Session* least = nullptr;
  for (auto& [id, session] : sessions_) {
    if (session.open_requests > 0 || session.closing || session.stalled) continue;
    if (least &&
        std::pair(session.served, session.last_activity) >= std::pair(least->served, least->last_activity))
      continue;
    least = &session;
    out = id;
  }
  if (least) least->closing = true;
  return out;
}

std::optional<SessionId> ClientSessions::add(Time now, SessionId id, std::uint64_t origin) {
  const auto out = crowded() ? take_victim() : std::nullopt;
  Session& session = sessions_[id];
  session.origin = origin;
  session.opened_at = now;
  session.last_activity = now;
  return out;
}

std::uint64_t ClientSessions::origin(SessionId id) const {
  const Session* session = find(id);
  return session ? session->origin : 0;
}

bool ClientSessions::may_open_request(SessionId id) const {
  const Session* session = find(id);
  if (!session) return false;
  if (session->served) return session->open_requests < limits_.open_requests;
  const std::size_t max_open = session->suspected_at ? 1 : limits_.open_requests_unproven;
  return session->open_requests < max_open;
}

void ClientSessions::on_request_opened(Time now, SessionId id) {
  Session* session = find(id);
  if (!session) return;
  ++session->open_requests;
  session->last_activity = now;
}

void ClientSessions::on_request_closed(Time now, SessionId id) {
  Session* session = find(id);
  if (!session) return;
  --session->open_requests;
  session->last_activity = now;
}

bool ClientSessions::on_response_sent(Time now, SessionId id) {
  Session* session = find(id);
  if (!session) return false;
  session->answered = true;
  session->last_activity = now;
  return ++session->responses >= limits_.unserved_responses && !session->served &&
         session->open_requests == 0;
}

void ClientSessions::on_result_sent(Time now, SessionId id) {
  if (Session* session = find(id)) session->served = true;
  on_response_sent(now, id);
}

bool ClientSessions::was_served(SessionId id) const {
  const Session* session = find(id);
  return session && session->served;
}

void ClientSessions::mark_suspect(Time now, SessionId id) {
  if (Session* session = find(id)) session->suspected_at = now;
}

bool ClientSessions::is_suspect(Time now, SessionId id) const {
  const Session* session = find(id);
  return session && session->suspected_at && !session->served &&
         now - *session->suspected_at < limits_.suspicion;
}

bool ClientSessions::any_closing() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s.second.closing; });
}

void ClientSessions::cancel_close(SessionId id) {
  if (Session* session = find(id)) session->closing = false;
}

void ClientSessions::mark_stalled(SessionId id) {
  if (Session* session = find(id)) session->stalled = true;
}

std::vector<SessionId> ClientSessions::take_finished_stalled() {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (!session.stalled || session.open_requests > 0 || session.closing) continue;
    session.closing = true;
    out.push_back(id);
  }
  return out;
}

std::vector<SessionId> ClientSessions::take_idle(Time now, std::optional<Duration> min_idle) {
  std::vector<SessionId> out;
  for (auto& [id, session] : sessions_) {
    if (session.open_requests > 0 || session.closing || session.stalled) continue;
    const Duration idle = now - (session.answered ? session.last_activity : session.opened_at);
    const Duration usual = session.answered ? limits_.idle_timeout : limits_.first_request_timeout;
    const Duration when_closing_all = session.answered ? min_idle.value_or(usual) : limits_.new_session_grace;
    const bool over = idle >= (min_idle ? when_closing_all : usual);
    if (!over) continue;
    session.closing = true;
    out.push_back(id);
  }
  // Where no connection is accepted any more, add() does not make room.
  if (crowded()) {
    if (const auto id = take_victim()) out.push_back(*id);
  }
  return out;
}

}  // namespace yokestream::dispatch
