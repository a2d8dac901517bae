// The decisions of lynxstand: events in, actions out. Interface:
// include/yokestream/policy/admission_controller.h.
//
// The ordinary path: predict a query's time from the mix this front runs on each engine (estimate), pick the
// lowest (choice), admit it if that fits the time left, else refuse it (placing). Under pressure a bound on
// running threads per engine holds queries back; they leave earliest deadline first (placing).
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kToldLong = 3;         // times its estimate: a query whose end no peer told of is forgotten
constexpr double kMeansStep = 0.02;     // weight of an arrival in the means of what arrives
constexpr double kDensityStep = 0.005;  // the same in the mean worth of a second of work: minutes
constexpr Duration kGap = milliseconds(100);  // without an event of its own: this front stood still
constexpr double kHeadroom = 1.25;  // of memory over what is told, at first; what engines add themselves
constexpr int kMostVotes = 40;      // arrivals of another kind that change what is usual

}  // namespace

AdmissionController::Impl::Impl(const Settings& settings, std::uint64_t seed, Time at)
    : s(settings), random(seed), now(at), classes(settings.classes.size()) {
  check(settings);
  kinds.assign(s.kinds.size(), zero_weights(classes.size()));
  for (auto& c : classes) c.memory_factor = kHeadroom;
  fronts = s.manager_count;
  share = 1.0 / fronts;
  probes = s.may_probe && s.manager_count > 1 && s.load_report_source != LoadReportSource::none &&
           tells_what_runs(s);
  buckets.assign(s.tenants.size(), {1e9, now});
  observed_own_queries = share, observed_all_queries = 1;
}

void AdmissionController::Impl::on(const QueryArrived& told) {
  if (pos(told.query_class) >= s.classes.size()) throw std::invalid_argument("invalid query: cls");
  if (!s.tenants.empty() && pos(told.tenant) >= s.tenants.size())
    throw std::invalid_argument("invalid query: tenant");
  if (queries.count(told.query)) return;
  Query q;
  q.told = told;
  q.deadline = now + told.time_left;
  const auto& c = cls(q);
  auto& state = classes[pos(told.query_class)];
  q.work = told.work ? seconds(*told.work) * state.work_factor : usual_work(pos(told.query_class));
  if (told.work)
    state.mean_estimated_work_s +=
        std::max(kMeansStep, 1 / ++state.arrivals) * (seconds(*told.work) - state.mean_estimated_work_s);
  q.aim = now + c.latency_objective + from_seconds(c.latency_objective_stretch * q.work / c.threads);
  // Danger: a client that comes again still counts from its first try; serving it late costs a fresh
  // query's place. What is left of its patience, where most have more on arrival, tells how long ago that
  // was; but less than the wanted time is a client in a hurry, in time whenever it is answered.
  if (std::chrono::abs(told.time_left - state.usual_left) <= kTick) {
    state.usual_votes = std::min(state.usual_votes + 2, kMostVotes);
  } else if (--state.usual_votes < 0) {
    state.usual_left = told.time_left, state.usual_votes = 2;
  }
  if (told.time_left + kTick < state.usual_left && (told.is_retry || told.time_left > c.latency_objective))
    q.aim -= std::max(Duration{}, c.deadline - told.time_left);
  q.over_share = over_share(told.tenant);
  mean_work_s += (mean_work_s == 0 ? 1 : kMeansStep) * (q.work - mean_work_s);
  if (!s.may_message || probes || q.work < told_from() * mean_work_s) {
    const double time = q.work / c.threads;
    unannounced_time_s += kMeansStep * (time - unannounced_time_s);
    unannounced_work_s += kMeansStep * (q.work - unannounced_work_s);
    unannounced_memory_mb_s += kMeansStep * (time * told.memory_mb - unannounced_memory_mb_s);
    mean_unannounced_threads = unannounced_work_s / unannounced_time_s;
    mean_unannounced_memory_mb = unannounced_memory_mb_s / unannounced_time_s;
  }
  mean_value_per_work_second +=
      (mean_value_per_work_second == 0 ? 1 : kDensityStep) * (density(q) - mean_value_per_work_second);
  if (dearness(q) > dearest && price >= dearest) price = dearness(q);
  dearest = std::max(dearest, dearness(q));
  taken.push_back(now);
  if (c.ordered && told.order_key) keys[*told.order_key].line.push_back(told.query);
  hold(queries.emplace(told.query, std::move(q)).first->second);
}

void AdmissionController::Impl::on(const ClientDisconnected& left) {
  const auto it = queries.find(left.query);
  if (it == queries.end()) return;
  unhold(it->second);
  it->second.finished = true;
  if (it->second.out > 0 && s.may_cancel) cancel(it->second);
  forget(left.query);
}

void AdmissionController::Impl::on(const PeerMessage& message) {
  const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(message.payload[i]); };
  const std::size_t size = message.payload.size();
  if (size != 4 && size != 5 && size != 7) return;
  const auto it = by_hash.find(static_cast<std::uint16_t>(byte(0) | byte(1) << 8));
  if (it == by_hash.end() || byte(2) > classes.size() || (size == 4) != (byte(2) == 0)) return;
  Engine& e = *it->second;
  const std::uint64_t who = (pos(message.sender) + 1) << 40;
  if (size > 4) {
    const double rest = decode(byte(4)) / 10;
    e.told.push_back(
        {who, static_cast<std::uint8_t>(byte(2) - 1), byte(3), now + from_seconds(kToldLong * rest)});
    if (size == 7)
      e.load_begins(TableGroupId{byte(5) | std::uint64_t{byte(6)} << 8}, who, now + from_seconds(rest));
  } else {
    const auto same = std::find_if(e.told.begin(), e.told.end(), [&](const Told& o) { return o.who == who; });
    if (same != e.told.end()) e.told.erase(same);
    e.load_ends(who);
    if (byte(3) < 255) see_others(e, byte(3), 0);
  }
  e.sum_told(now, s.classes);
}

void AdmissionController::Impl::on(const TimerFired& woken) {
  if (woken.token == 1) return act(WatchEngineList{});
  act(StartTimer{kTick, 0});
  while (!taken.empty() && taken.front() < now - s.retry_budget_window) taken.pop_front();
  while (!extras.empty() && extras.front() < now - s.retry_budget_window) extras.pop_front();
  refresh_views();
  watch_silence();
  set_price();
}

void AdmissionController::Impl::handle(Time at, const Event& event, std::vector<Action>& actions) {
  now = std::max(now, at);
  out = &actions;
  // Danger: this front stood still and all comes at once: times hold its own stall, sends would go before
  // the list that forbids them. It judges and sends nothing until a tick later.
  if (started && now - last_event > kGap) resumed = now;
  last_event = now;
  if (!started) {
    started = true;
    act(StartTimer{kTick, 0});
    if (s.engine_list_source == EngineListSource::on_request) act(WatchEngineList{});
  }
  std::visit([&](const auto& e) { on(e); }, event);
  // news that frees no room moves no query: what is held is looked at again on the next tick
  if (std::holds_alternative<AttemptProgress>(event) || std::holds_alternative<PeerMessage>(event)) return;
  release(std::holds_alternative<TimerFired>(event));
}

AdmissionController::AdmissionController(const Settings& settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t AdmissionController::unavailable_engines() const {
  return static_cast<std::size_t>(
      std::count_if(impl_->engines.begin(), impl_->engines.end(), [&](const auto& known) {
        const Engine& e = known.second;
        return e.entry.state != EngineState::gone &&
               (e.entry.state != EngineState::up || e.ejected || impl_->now < e.full_until);
      }));
}

}  // namespace yokestream::policy
