// The engines of a played fleet: what comes to them, and how they end.
#include "standin/fleet_seat.h"
#include "standin/pool.h"

namespace yokestream::standin {

std::size_t Fleet::add_engine(bool cold) {
  Engine e;
  const std::size_t index = engines_.size();
  e.settings.cores = kCores;
  e.settings.seed = settings_.seed * 1000 + index;
  e.model = std::make_unique<EngineModel>(e.settings, now_, cold);
  e.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
  e.uid = numbered("e", index);
  if (cold) e.cold_since = now_;
  engines_.push_back(std::move(e));
  return index;
}

// What comes to a cold engine, also what it turns away: over a window it bears so many times what it can do.
void Fleet::note_cold(Engine& e, double work) {
  const auto& s = seats_.front()->config.settings;
  const double age = e.cold_since ? seconds_of(now_ - *e.cold_since) / seconds_of(s.slow_start_window) : 1;
  if (age >= 1) return;
  e.come.emplace_back(now_, work);
  double sum = 0;
  for (const auto& [time, w] : e.come) sum += now_ - time < s.cold_overload_window ? w : 0;
  const double part = e.settings.cold_part + (1 - e.settings.cold_part) * age;
  if (e.tipped ||
      sum <= s.cold_overload_multiple * part * e.settings.cores * seconds_of(s.cold_overload_window))
    return;
  e.tipped = true;
  ++figures_.tipped;
}

void Fleet::start(std::size_t engine, std::size_t seat, std::uint64_t link, const std::string& id,
                  std::uint32_t band) {
  Engine& e = engines_[engine];
  if (!e.up || e.silent) return;
  move(engine);
  Ask& ask = asks_.at(id);
  note_cold(e, ask.work);
  Query query;
  query.id = id;
  query.work = ask.work;
  query.threads = kThreadsOf[ask.cls];
  query.memory = ask.memory;
  query.group = ask.group;
  query.band = band;
  query.load = ask.cls == kLoad;
  if (e.model->start(now_, query)) {
    e.runs[id] = {seat, link};
    if (++ask.runs > 1 && query.load) ++figures_.loads_run_twice;
    return reschedule(engine);
  }
  EngineResponse full;
  full.id = id;
  full.type = ResponseType::overloaded;
  Seat& to = *seats_[seat];
  later(now_ + kWire, [&to, link, full, life = to.life] {
    to.over(link, life, dispatch::ResponseReceived{dispatch::EngineConnectionId{link}, full});
  });
}

void Fleet::move(std::size_t engine) {
  Engine& e = engines_[engine];
  const double age = e.cold_since ? seconds_of(now_ - *e.cold_since) : 1e9;
  for (const auto& ended : e.model->advance(now_)) {
    const auto it = e.runs.find(ended.id);
    if (it == e.runs.end()) continue;
    const auto [seat, link] = it->second;
    e.runs.erase(it);
    if (age < seconds_of(e.settings.cold_for)) figures_.cold_work += ended.work;
    if (e.silent) continue;
    const EngineResponse answer = served_answer(*e.model, ended);
    Seat& to = *seats_[seat];
    later(now_ + kWire, [&to, on = link, answer, life = to.life] {
      to.over(on, life, dispatch::ResponseReceived{dispatch::EngineConnectionId{on}, answer});
    });
  }
  reschedule(engine);
}

void Fleet::reschedule(std::size_t engine) {
  Engine& e = engines_[engine];
  ends_.erase({e.due, engine});
  e.due = Time::max();
  const auto next = e.up ? e.model->next_end(now_) : std::nullopt;
  if (!next) return;
  e.due = std::max(*next, now_ + Duration(1));
  ends_.emplace(e.due, engine);
}

void Fleet::stopped(std::size_t engine, const std::string& id) {
  Engine& e = engines_[engine];
  if (!e.up || e.silent || !e.runs.count(id)) return;
  move(engine);
  e.model->stop(now_, id);
  e.runs.erase(id);
  reschedule(engine);
}

void Fleet::list(std::size_t engine, const char* state) {
  const Engine& e = engines_[engine];
  const std::int64_t boot =
      e.cold_since
          ? std::chrono::duration_cast<std::chrono::milliseconds>(e.cold_since->time_since_epoch()).count()
          : 0;
  const auto event = config::decode_members(member_event(++last_event_, e.uid, e.endpoint, state, boot));
  history_.push_back(event);
  const bool leaves = std::string_view(state) != "up";
  for (auto& seat : seats_) {
    if (seat->deaf) continue;
    later(now_ + from_seconds(seconds_of(settings_.notice) * (0.5 + draw())),
          [this, s = seat.get(), event, engine, leaves, life = seat->life] {
            if (s->life != life || !s->core) return;
            if (leaves) later(now_ + std::chrono::milliseconds(250), [s, engine] { s->gone.insert(engine); });
            s->hear(dispatch::EngineListChanged{event});
          });
  }
}

void Fleet::end_engine(std::size_t engine) {
  Engine& e = engines_[engine];
  move(engine);
  e.up = false;
  e.runs.clear();
  reschedule(engine);
  for (auto& seat : seats_) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, link] : seat->links) {
      if (link.engine == engine) lost.push_back(id);
    }
    for (const auto id : lost) {
      seat->links.erase(id);
      seat->hear(dispatch::EngineDisconnected{dispatch::EngineConnectionId{id}, "reset"});
    }
  }
  list(engine, "removed");
}

}  // namespace yokestream::standin
