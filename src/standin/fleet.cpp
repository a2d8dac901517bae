#include "standin/fleet.h"

#include "coordination/load_shares.h"
#include "standin/fleet_seat.h"

namespace yokestream::standin {

std::uint64_t FleetFigures::asked() const {
  std::uint64_t sum = 0;
  for (const auto& second : seconds) sum += second.asked;
  return sum;
}

double FleetFigures::kept(std::size_t from, std::size_t until) const {
  double worth = 0, asked = 0;
  for (std::size_t i = from; i < std::min(until, seconds.size()); ++i)
    worth += seconds[i].worth, asked += seconds[i].worth_asked;
  return asked > 0 ? worth / asked : 1;
}

Fleet::Fleet(const FleetSettings& settings) : settings_(settings), random_(settings.seed) {
  PoolSettings pool;
  pool.cores = kCores;
  pool.capacity_per_s = 0;
  for (std::size_t i = 0; i < settings_.engines; ++i)
    pool.engines.push_back(engines_[add_engine(false)].endpoint);
  config::Config config = config::decode_config(platform_config(pool));
  config.settings.manager_count = static_cast<std::uint32_t>(settings_.managers);
  const double capacity = kCores * static_cast<double>(settings_.engines);
  const double rate = settings_.load * capacity / mean_work();
  const auto busy = static_cast<std::size_t>(settings_.busy_part * static_cast<double>(settings_.managers));
  const double shares =
      static_cast<double>(settings_.managers - busy) + static_cast<double>(busy) * settings_.busy_times;
  for (std::size_t i = 0; i < settings_.managers; ++i) {
    seats_.push_back(std::make_unique<Seat>(*this, i, config));
    seats_[i]->per_s = rate / shares * (i < busy ? settings_.busy_times : 1);
  }
  if (settings_.by_traffic) share_out();
  for (std::size_t i = 0; i < settings_.managers; ++i) {
    seats_[i]->begin();
    later(now_ + from_seconds(-std::log(1 - draw()) / seats_[i]->per_s), [this, i] { arrive(i); });
  }
  figures_.seconds.resize(static_cast<std::size_t>(std::ceil(seconds_of(settings_.length))));
}

Fleet::~Fleet() = default;

// The parts that the duty comes to, once all have told their traffic.
void Fleet::share_out() {
  std::map<std::string, coordination::MemberRecord> living;
  for (const auto& seat : seats_)
    living[std::to_string(seat->index)] = {std::to_string(seat->index), "", seat->per_s, {}, {}};
  const coordination::LoadShareCalculator shares(settings_.managers);
  coordination::LoadShareTable table;
  while (const auto next = shares.next_table(table, living)) table = *next;
  for (const auto& seat : seats_)
    seat->part = static_cast<double>(table.shares[std::to_string(seat->index)]) /
                 static_cast<double>(coordination::kFullLoad);
}

void Fleet::later(Time time, std::function<void()> what) {
  due_.push({std::max(time, now_), ++order_, std::move(what)});
}
void Fleet::at(Duration since_start, std::function<void()> what) {
  later(start_ + since_start, std::move(what));
}

FleetFigures Fleet::run() {
  const Time until = start_ + settings_.length + from_seconds(kKinds[kReport].patience) + kAnswerBy;
  while (true) {
    Time next = due_.empty() ? Time::max() : due_.top().time;
    if (!ends_.empty()) next = std::min(next, ends_.begin()->first);
    if (!ticks_.empty()) next = std::min(next, ticks_.begin()->first);
    if (next > until) break;
    now_ = std::max(now_, next);
    while (!ends_.empty() && ends_.begin()->first <= now_) move(ends_.begin()->second);
    while (!due_.empty() && due_.top().time <= now_) {
      const auto what = due_.top().what;
      due_.pop();
      what();
    }
    while (!ticks_.empty() && ticks_.begin()->first <= now_) seats_[ticks_.begin()->second]->tick();
  }
  now_ = until;
  for (const auto& [id, ask] : asks_) figures_.unanswered += ask.answers == 0 && !ask.lost;
  return figures_;
}

// ---- clients

void Fleet::arrive(std::size_t index) {
  if (now_ >= start_ + settings_.length) return;
  Seat& seat = *seats_[index];
  later(now_ + from_seconds(-std::log(1 - draw()) / seat.per_s), [this, index] { arrive(index); });
  Ask ask;
  const double which = draw();
  ask.cls = which < kKinds[kLookup].part                          ? kLookup
            : which < kKinds[kLookup].part + kKinds[kReport].part ? kReport
                                                                  : kLoad;
  const Kind& kind = kKinds[ask.cls];
  ask.seat = index;
  ask.work = kind.work * std::min(kMostWork, -std::log(1 - draw())) + 1e-3;
  ask.memory = kind.memory;
  ask.group = static_cast<std::uint32_t>(draw() * static_cast<double>(2 * settings_.engines));
  ask.sent = now_;
  ask.deadline = now_ + from_seconds(kind.patience);
  ask.second = static_cast<std::size_t>(seconds_of(now_ - start_));
  const double gauss = std::sqrt(-2 * std::log(1 - draw())) * std::cos(6.283185307 * draw());
  if (!seat.core) return;  // it is down: the front sends its clients elsewhere
  auto& second = figures_.seconds[ask.second];
  ++second.asked;
  second.worth_asked += kind.worth;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++last_id_));
  dispatch::RequestReceived a;
  a.call = ++seat.last_call;
  a.session = dispatch::SessionId{a.call % kSessions + 1};
  a.request_id = id;
  a.query_class = policy::ClassId{static_cast<std::uint32_t>(ask.cls)};
  a.table_group = policy::TableGroupId{ask.group};
  a.memory_mb = ask.memory;
  a.work = from_seconds(ask.work * kToldPart * std::exp(kToldScatter * gauss));
  a.deadline = ask.deadline;
  a.statement = "select 1";
  seat.calls[a.call] = id;
  asks_.emplace(id, std::move(ask));
  seat.hear(std::move(a));
}

void Fleet::answered(std::size_t index, std::uint64_t call, const char* how) {
  Seat& seat = *seats_[index];
  const auto it = seat.calls.find(call);
  if (it == seat.calls.end()) {
    ++figures_.answered_twice;
    return;
  }
  Ask& ask = asks_.at(it->second);
  seat.calls.erase(it);
  ++ask.answers;
  if (now_ > ask.deadline + kAnswerBy) ++figures_.unanswered;
  auto& second = figures_.seconds[ask.second];
  const std::string_view word = how;
  if (word == "refused") ++second.refused;
  if (word == "failed") ++second.failed;
  if (word != "served") return;
  const double aim = kAimOf[ask.cls] + kStretchOf[ask.cls] * ask.work / kThreadsOf[ask.cls];
  if (seconds_of(now_ - ask.sent) > aim) {
    ++second.late;
    return;
  }
  ++second.in_time;
  second.worth += kKinds[ask.cls].worth;
}

}  // namespace yokestream::standin
