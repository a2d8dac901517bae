#include "standin/duty_world.h"

#include <algorithm>

#include "standin/duty_process.h"
#include "standin/history.h"
#include "store/gateway_codec.h"

namespace yokestream::standin {
namespace {

constexpr Duration kCoreLooks = milliseconds(200);  // until the core acts on what it is told
constexpr Duration kNetwork = milliseconds(2);
constexpr double kRepeated = 0.02;  // share of a watch's messages that come twice

}  // namespace

DutyWorld::DutyWorld(const DutySettings& settings)
    : settings_(settings), random_(settings.seed), checker_(settings.duty.key_prefix, settings.processes) {
  for (std::size_t p = 0; p < settings_.processes; ++p) {
    processes_.push_back(std::make_unique<Process>());
    processes_[p]->rate = 1 + settings_.rates * (2 * draw() - 1);
    later(now_ + milliseconds(static_cast<int>(2000 * draw())), [this, p] { start(p); });
  }
}
DutyWorld::~DutyWorld() = default;

void DutyWorld::later(Time time, std::function<void()> what) { due_.push({time, ++order_, std::move(what)}); }
void DutyWorld::at(Duration since_start, std::function<void()> what) {
  later(start_ + since_start, std::move(what));
}

void DutyWorld::run(Duration until) {
  const Time end = start_ + until;
  while (figures_.violation.empty()) {
    const Time next = due_.empty() ? end : std::min(end, due_.top().time);
    if (store_.next_expiry() <= next) {
      now_ = std::max(now_, store_.next_expiry());
      store_.expire(now_);
      changed();
      continue;
    }
    now_ = std::max(now_, next);
    if (due_.empty() || due_.top().time > end) break;
    const auto what = due_.top().what;
    due_.pop();
    what();
  }
}

Time DutyWorld::local(const Process& p) const {
  return start_ + std::chrono::duration_cast<Duration>((now_ - start_) * p.rate);
}
void DutyWorld::trace(std::size_t process, std::string_view what) const {
  if (!settings_.trace) return;
  std::string line = exact(now_) + ' ' + std::to_string(process) + ' ';
  line += what;
  settings_.trace(line);
}
Duration DutyWorld::delay() { return kNetwork + std::chrono::duration_cast<Duration>(kNetwork * draw()); }

void DutyWorld::check() {
  double sum = 0;
  for (std::size_t p = 0; p < processes_.size(); ++p) sum += part(p);
  figures_.most_in_force = std::max(figures_.most_in_force, sum);
  if (sum > 1 + 1e-6 && figures_.violation.empty())
    figures_.violation = "sum: parts of " + std::to_string(sum) + " in force";
}

// The store may have changed: checked, and told to whoever watches.
void DutyWorld::changed() {
  const auto& history = store_.history();
  if (checked_ == history.size()) return;
  const coordination::StoreKeys names(settings_.duty.key_prefix);
  for (; checked_ < history.size(); ++checked_) {
    if (figures_.violation.empty()) figures_.violation = checker_.take(history[checked_]);
    if (history[checked_].event.key_value.key != names.leader_progress(FleetMember::kLoadShareTask)) continue;
    if (const auto since = std::exchange(vacant_since_, std::nullopt))
      figures_.vacancies.push_back(std::chrono::duration<double>(history[checked_].at - *since).count());
  }
  for (std::size_t p = 0; p < processes_.size(); ++p) {
    if (!processes_[p]->lives) continue;
    later(now_ + delay(), [this, p] { pump(p); });
  }
}

// ---- one process

// What is meant for this life of it: now, or once it goes on.
void DutyWorld::reach(std::size_t at, std::uint64_t life, std::function<void()> what) {
  Process& p = *processes_[at];
  if (!p.lives || p.life != life) return;
  if (p.stopped)
    p.held.push_back([this, at, life, what] { reach(at, life, what); });
  else
    what();
}

void DutyWorld::turn(std::size_t at) {
  Process& p = *processes_[at];
  if (!p.lives || p.stopped) return;
  FleetMember& fleet = *p.fleet;
  fleet.set_requests_per_s(p.traffic);
  if (fleet.load_grant() != p.acting) {
    later(now_ + std::chrono::duration_cast<Duration>(kCoreLooks * draw()), [this, at, life = p.life] {
      reach(at, life, [this, at] {
        Process& process = *processes_[at];
        const auto before = std::exchange(process.acting, process.fleet->load_grant());
        if (settings_.trace)
          trace(at, "part " + std::to_string(process.acting.epoch) + ' ' +
                        std::to_string(process.acting.share) + ' ' +
                        std::to_string(process.acting.share_after) + ' ' + exact(process.acting.valid_until));
        process.fleet->acknowledge(process.acting.epoch);
        check();
        if (before.epoch != process.acting.epoch) turn(at);
      });
    });
  }
  if (settings_.edges.areas > 0) act(at);
  const Time local_now = local(p);
  if (local_now >= p.addresses->next_attempt_at()) {
    if (const auto request = fleet.next_request(local_now)) {
      fleet.on_request_sent(local_now);
      ask(at, *request);
    }
  }
  for (std::size_t i = 0; i < FleetMember::kWatchSlots; ++i) {
    const auto wanted = fleet.desired_watch(static_cast<FleetMember::WatchSlot>(i));
    if (!wanted) p.watches[i].reset();
    if (wanted && (!p.watches[i] || p.watches[i]->key != wanted->key)) p.watches[i] = wanted, pump_later(at);
  }
  const Time due = std::max(fleet.next_due(local_now), p.addresses->next_attempt_at());
  if (due == Time::max()) return;
  const auto wait = std::chrono::duration_cast<Duration>((due - local_now) / p.rate);
  later(now_ + std::max<Duration>(wait, milliseconds(1)),
        [this, at, life = p.life] { reach(at, life, [this, at] { turn(at); }); });
}

// What the core of this process acts on: a moment after its keeper knows, and told to it when it does.
void DutyWorld::act(std::size_t at) {
  Process& p = *processes_[at];
  if (!p.edge->behind(*p.mover, p.fleet->session_held_until())) return;
  later(now_ + std::chrono::duration_cast<Duration>(kCoreLooks * draw()), [this, at, life = p.life] {
    reach(at, life, [this, at] {
      Process& process = *processes_[at];
      process.edge->take(*process.mover, process.fleet->session_held_until(), now_, figures_.edges);
    });
  });
}

// One request of this process, and the next one later.
void DutyWorld::send(std::size_t at) {
  const std::uint64_t life = processes_[at]->life;
  reach(at, life, [this, at] {
    Process& p = *processes_[at];
    const std::uint64_t before = figures_.edges.sent, refused = figures_.edges.refused;
    const auto sent = p.edge->send(now_, local(p), random_, moves_, figures_.edges);
    trace(at, figures_.edges.sent > before ? "sent" : figures_.edges.refused > refused ? "closed" : "none");
    if (!sent.empty() && figures_.violation.empty()) figures_.violation = sent;
    const auto acted = p.edge->acted(now_);
    if (acted >= 0) p.fleet->acknowledge(*p.mover, acted);
    p.fleet->set_outcome_tallies(p.mover->outcome_tallies(p.edge->tallies()));
    turn(at);
  });
  const auto wait = std::chrono::duration_cast<Duration>(settings_.edges.every * (0.5 + draw()));
  later(now_ + wait, [this, at, life] {
    if (processes_[at]->lives && processes_[at]->life == life) send(at);
  });
}

void DutyWorld::ask(std::size_t at, const store::Request& request) {
  Process& p = *processes_[at];
  ++figures_.calls;
  if (settings_.trace) trace(at, describe(request));
  if (std::holds_alternative<store::GrantLease>(request))
    ++figures_.grants_by_second[(now_ - start_) / std::chrono::seconds(1)];
  const std::uint64_t life = p.life, call = ++p.call;
  const Time given_up = now_ + std::chrono::duration_cast<Duration>(settings_.duty.call_timeout / p.rate);
  const auto answer = [this, at, life, call](store::Reply reply) {
    reach(at, life, [this, at, call, reply] {
      Process& process = *processes_[at];
      if (process.call != call) return;
      if (settings_.trace) trace(at, describe(reply));
      ++process.call;
      if (std::holds_alternative<store::Completed>(reply))
        process.addresses->record_success(local(process));
      else
        process.addresses->record_failure(local(process));
      process.fleet->on_reply(local(process), reply);
      turn(at);
    });
  };
  if (away_) return later(now_ + delay(), [answer] { answer(store::Failed{"refused", false}); });
  later(given_up, [answer, request] {
    if (store::may_change(request))
      answer(store::OutcomeUnknown{"no answer"});
    else
      answer(store::Failed{"no answer", false});
  });
  if (!p.there || draw() < settings_.lost) return;
  // a slow call arrives long after who asked has given up, or is dead
  const bool slow = draw() < settings_.slow;
  const auto way =
      slow ? std::chrono::duration_cast<Duration>(settings_.duty.lease_duration * 2 * draw()) : delay();
  later(now_ + way, [this, at, request, answer] {
    if (away_) return;
    const auto result = store_.handle(now_, request);
    changed();
    if (!processes_[at]->back || draw() < settings_.replies_lost) return;
    later(now_ + delay(), [answer, result] {
      if (result.code == 0)
        answer(result.done);
      else
        answer(store::Failed{result.message, result.code == StoreModel::kOutOfRange});
    });
  });
}

void DutyWorld::pump_later(std::size_t at) {
  later(now_ + delay(), [this, at] { pump(at); });
}

void DutyWorld::pump(std::size_t at) {
  Process& p = *processes_[at];
  if (!p.lives || p.stopped || !p.back || away_) return;
  bool heard = false;
  for (std::size_t i = 0; i < FleetMember::kWatchSlots; ++i) {
    auto& watch = p.watches[i];
    if (!watch) continue;
    store::WatchResponse message;
    message.revision = store_.revision();
    if (store_.check(*watch).code != 0)
      message.canceled = true, message.compact_revision = store_.revision();
    else
      for (const auto& [revision, event] : store_.events(*watch)) message.events.push_back(event);
    if (message.events.empty() && !message.canceled) continue;
    figures_.watch_events += message.events.size();
    if (!message.events.empty()) watch->start_revision = message.events.back().key_value.mod_revision + 1;
    const auto slot = static_cast<FleetMember::WatchSlot>(i);
    heard = true;
    if (settings_.trace) trace(at, describe(message));
    p.fleet->on_watch_response(slot, message);
    if (draw() < kRepeated) p.fleet->on_watch_response(slot, message);
    if (message.canceled || draw() < settings_.watch_cut) watch.reset(), p.fleet->on_watch_lost(slot);
  }
  if (heard) turn(at);
}

}  // namespace yokestream::standin
