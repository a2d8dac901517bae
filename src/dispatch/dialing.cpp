// From the module's choice to a link that takes the attempt: what is looked at last before it leaves, and
// what happens where no link can be had.
//
// Invariants. An attempt in Phase::dialing is on no link: nothing of it has left, and it is dialed again,
// ended as never sent, or taken back. What fails for a lack on this machine is never told as a fault of the
// engine, and is the same attempt when it is dialed again.
#include <utility>

#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::AttemptEnded;
using policy::Outcome;
using policy::QueryId;
using std::chrono::milliseconds;

// A lack of descriptors, ports or links on this machine passes, and says nothing of the engine: the attempt
// keeps its place and is dialed again, for as long as any other may take to come up.
constexpr Duration kDialAgain = milliseconds(10);

}  // namespace

void Dispatcher::act(const policy::Send& send) {
  const auto it = requests_.find(send.query);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const policy::AttemptNumber number{request.attempts++};
  const auto not_sent = [&](Outcome outcome) {
    AttemptEnded end;
    end.query = send.query;
    end.attempt = number;
    end.engine = send.engine;
    end.outcome = outcome;
    end.query_finished = request.answered;
    tell(std::move(end));
  };
  if (request.answered || request.attempt) return not_sent(Outcome::never_sent);
  const EngineRecord* engine = directory_.find_available(send.engine.name);
  if (!engine) return not_sent(Outcome::unreachable);
  // Guards the areas that a duty touches, where a table has come since the module chose.
  if (bars(route_of(request.told), send.engine.name)) return not_sent(Outcome::never_sent);
  Attempt attempt;
  attempt.number = number;
  attempt.uid = send.engine.name;
  attempt.tag = ++last_tag_;
  attempt.sent = now_;
  attempt.dial_by = now_ + config_.real.dial_time;
  attempt.until = request.told.deadline;
  if (send.timeout > Duration{} && now_ + send.timeout < attempt.until) {
    attempt.until = now_ + send.timeout;
    at(attempt.until, AttemptTimer{send.query, attempt.tag, Outcome::timed_out, now_});
  }
  request.attempt = std::move(attempt);
  // Guards the engines against work for nobody: its client may have gone while it waited, or while this
  // process stood still, and the word of it be on its way yet.
  if (clients_.has_disconnected(request.told.session)) {
    request.attempt->phase = Phase::dialing;
    return client_left(send.query);
  }
  if (!dispatch(send.query, request, *engine) && !dial_again(send.query, *request.attempt))
    end_attempt(send.query, request, Outcome::never_sent);
}

// Puts the attempt on a link, where it leaves once that is up. False: none can be had.
bool Dispatcher::dispatch(QueryId query, Request& request, const EngineRecord& engine) {
  Attempt& attempt = *request.attempt;
  const auto link = links_.pick(now_, attempt.uid, engine, request.used, attempt.dial_by);
  if (!link) return false;
  request.used.push_back(*link);
  links_.carry(now_, *link, request.told.request_id, query);
  attempt.link = *link;
  attempt.phase = Phase::out;
  EngineRequest out;
  out.id = request.told.request_id;
  out.query_class = config_.real.classes[static_cast<std::size_t>(request.told.query_class)];
  out.deadline = attempt.until;
  out.priority = band_of(query, request, attempt.uid);
  if (route_of(request.told).needs_lease) {
    out.lease_expiry = routes_.lease_expiry();
    at(out.lease_expiry, AttemptTimer{query, attempt.tag, Outcome::never_sent, now_});
  }
  out.statement = request.told.statement;
  engines_.send(*link, attempt.tag, std::move(out));
  return true;
}

void Dispatcher::on(const EngineConnected& up) {
  if (EngineConnection* link = links_.find(up.connection)) link->up = true, link->heard = now_;
}

void Dispatcher::on(const EngineDisconnected& ended) {
  EngineConnection* link = links_.find(ended.connection);
  if (!link) return;
  // Copied, as ending an attempt takes it off the link.
  const auto carried = link->carries;
  const bool was_up = link->up;
  if (was_up && !carried.empty())
    log_.write("a connection to " + link->uid + " ended with " + std::to_string(carried.size()) +
               " attempts on it: " + ended.cause);
  for (const auto& [id, query] : carried) {
    Request& request = requests_.at(query);
    const bool unwritten = engines_.withdraw(ended.connection, request.attempt->tag);
    if (ended.local_fault && dial_again(query, *request.attempt)) continue;
    end_attempt(query, request,
                ended.local_fault ? Outcome::never_sent
                : !was_up         ? Outcome::unreachable
                : unwritten       ? Outcome::never_sent
                                  : Outcome::reset);
  }
  links_.drop(ended.connection);
}

// False: it has been tried for long enough.
bool Dispatcher::dial_again(QueryId query, Attempt& attempt) {
  if (now_ + kDialAgain >= attempt.dial_by) return false;
  attempt.phase = Phase::dialing;
  at(now_ + kDialAgain, DialAgain{query, attempt.tag});
  return true;
}

void Dispatcher::due(const DialAgain& timer) {
  const auto it = requests_.find(timer.query);
  if (it == requests_.end() || !it->second.attempt || it->second.attempt->tag != timer.tag) return;
  Request& request = it->second;
  Attempt& attempt = *request.attempt;
  const EngineRecord* engine = directory_.find_available(attempt.uid);
  if (request.answered || !engine || bars(route_of(request.told), attempt.uid))
    return end_attempt(timer.query, request, Outcome::never_sent);
  if (clients_.has_disconnected(request.told.session)) return client_left(timer.query);
  if (!dispatch(timer.query, request, *engine) && !dial_again(timer.query, attempt))
    end_attempt(timer.query, request, Outcome::never_sent);
}

// Nothing of it has left, and nothing will.
bool Dispatcher::take_back(const Attempt& attempt) {
  return attempt.phase == Phase::dialing || engines_.withdraw(attempt.link, attempt.tag);
}

}  // namespace yokestream::dispatch
