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

// Prefers a connection that was never served, then the one that has been idle for the longest time.
std::optional<SessionId> ClientSessions::take_eviction_candidate() {
  std::optional<SessionId> candidate_id;
  Session* candidate = nullptr;
  for (auto& [id, session] : sessions_) {
    if (session.open_requests > 0 || session.closing || session.stalled) continue;
    if (candidate && std::pair(session.served, session.last_activity) >=
                         std::pair(candidate->served, candidate->last_activity))
      continue;
    candidate = &session;
    candidate_id = id;
  }
  if (candidate) candidate->closing = true;
  return candidate_id;
}

std::optional<SessionId> ClientSessions::add(Time now, SessionId id, std::uint64_t origin) {
  const auto evicted = near_session_limit() ? take_eviction_candidate() : std::nullopt;
  Session& session = sessions_[id];
  session.origin = origin;
  session.opened_at = now;
  session.last_activity = now;
  return evicted;
}

std::uint64_t ClientSessions::origin(SessionId id) const {
  const Session* session = find(id);
  return session ? session->origin : 0;
}

bool ClientSessions::may_open_request(SessionId id) const {
  const Session* session = find(id);
  if (!session) return false;
  if (session->served) return session->open_requests < limits_.open_requests;
  const std::size_t max_open = session->suspected_at ? 1 : limits_.open_requests_before_first_result;
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
  return ++session->responses >= limits_.responses_without_result && !session->served &&
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
         now - *session->suspected_at < limits_.suspect_duration;
}

bool ClientSessions::any_closing() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return entry.second.closing; });
}

void ClientSessions::cancel_close(SessionId id) {
  if (Session* session = find(id)) session->closing = false;
}

void ClientSessions::mark_stalled(SessionId id) {
  if (Session* session = find(id)) session->stalled = true;
}

void ClientSessions::clear_stalled(SessionId id) {
  if (Session* session = find(id)) session->stalled = false;
}

std::vector<SessionId> ClientSessions::take_finished_stalled() {
  std::vector<SessionId> to_close;
  for (auto& [id, session] : sessions_) {
    if (!session.stalled || session.open_requests > 0 || session.closing) continue;
    session.closing = true;
    to_close.push_back(id);
  }
  return to_close;
}

std::vector<SessionId> ClientSessions::take_idle(Time now, std::optional<Duration> min_idle) {
  std::vector<SessionId> to_close;
  for (auto& [id, session] : sessions_) {
    if (session.open_requests > 0 || session.closing || session.stalled) continue;
    const Duration idle = now - (session.answered ? session.last_activity : session.opened_at);
    const Duration timeout = session.answered ? limits_.idle_timeout : limits_.first_request_timeout;
    const Duration timeout_when_closing_all =
        session.answered ? min_idle.value_or(timeout) : limits_.new_session_grace;
    const bool expired = idle >= (min_idle ? timeout_when_closing_all : timeout);
    if (!expired) continue;
    session.closing = true;
    to_close.push_back(id);
  }
  // add() evicts only when a connection is accepted. If none can be, e.g. because no descriptor is free, this
  // makes room.
  if (near_session_limit()) {
    if (const auto id = take_eviction_candidate()) to_close.push_back(*id);
  }
  return to_close;
}

}  // namespace yokestream::dispatch
