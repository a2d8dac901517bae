// What goes wrong in a played fleet.
#include "standin/fleet_seat.h"

namespace yokestream::standin {

void Fleet::replace(double part, Duration within) {
  const auto many = static_cast<std::size_t>(part * static_cast<double>(settings_.engines));
  for (std::size_t i = 0; i < many; ++i) {
    const Duration when = within * static_cast<Duration::rep>(i) / static_cast<Duration::rep>(many);
    later(now_ + when, [this, i] {
      list(add_engine(true), "up");
      figures_.cold_could += kCores * seconds_of(engines_.back().settings.cold_for) *
                             (1 + engines_.back().settings.cold_part) / 2;
      list(i, "draining");
      later(now_ + kDrain, [this, i] { end_engine(i); });
    });
  }
}

void Fleet::kill(double part) {
  const auto many = static_cast<std::size_t>(part * static_cast<double>(seats_.size()));
  for (std::size_t i = 0; i < many; ++i) {
    Seat& seat = *seats_[i];
    for (const auto& [call, id] : seat.calls) asks_.at(id).lost = true;
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
      std::vector<std::string> open;
      for (const auto& [id, at] : engines_[engine].runs) {
        if (at.first == i) open.push_back(id);
      }
      for (const auto& id : open) stopped(engine, id);
    }
    seat.end();
    later(now_ + kRestart, [&seat] { seat.begin(); });
  }
}

void Fleet::deafen(double part) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(seats_.size())); ++i)
    seats_[i]->deaf = true;
}

void Fleet::slow(double part, double times) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(settings_.engines)); ++i) {
    move(i);
    engines_[i].model->slow(now_, times);
    reschedule(i);
  }
}

void Fleet::silence(double part, Duration how_long) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(settings_.engines)); ++i) {
    engines_[i].silent = true;
    later(now_ + how_long, [this, i] { engines_[i].silent = false; });
  }
}

std::set<std::size_t> Fleet::gone_engines() const {
  std::set<std::size_t> out;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (!engines_[i].up) out.insert(i);
  }
  return out;
}

}  // namespace yokestream::standin
