// Seeded random scenarios: engines crash, stop responding, drain, restart and return, list updates are
// missed, and responses are lost until the deadline. An independent checker compares every action with the
// rules.
#include <random>
#include <set>

#include "rule_judge.h"

namespace yokestream::policy::testing {
namespace {

Settings random_settings(std::mt19937& random) {
  std::vector<ClassSettings> classes(1 + random() % 4);
  for (auto& query_class : classes) {
    query_class = make_class(std::chrono::milliseconds(200 + random() % 1500),
                             std::chrono::milliseconds(2000 + random() % 5000));
    query_class.idempotency = static_cast<Idempotency>(random() % 3);
    query_class.deduplication_scope = static_cast<DeduplicationScope>(random() % 3);
    query_class.deduplication_window = std::chrono::milliseconds(300 + random() % 3000);
    query_class.ordered = random() % 3 == 0;
    query_class.threads = 1 + random() % 3;
    query_class.locks_table_group = random() % 4 == 0;
    query_class.waits_for_table_group = random() % 3 == 0;
    if (random() % 4 == 0) query_class.allowed_zones = {ZoneId{static_cast<std::uint32_t>(random() % 2)}};
    if (random() % 4 == 0) query_class.allowed_kinds = {KindId{static_cast<std::uint32_t>(random() % 2)}};
  }
  Settings settings = make_settings(classes);
  settings.kinds = {{4, 4000}, {8, 0}};
  settings.zones = 2;
  settings.manager_count = 1 + random() % 4;
  settings.max_attempts = 1 + random() % 4;
  settings.may_cancel = random() % 2;
  settings.memory_grants = random() % 2;
  settings.query_priorities = random() % 2;
  settings.may_message = random() % 2;
  settings.progress_interval = random() % 2 ? 500ms : 0ms;
  settings.order_pause = std::chrono::milliseconds(random() % 600);
  settings.retry_budget_enabled = random() % 2;
  settings.retry_budget_min_retries = random() % 4;
  settings.retry_budget_ratio = 0.1;
  settings.retry_budget_window = 2s;
  settings.slow_start_initial_ratio = 0.3;
  settings.slow_start_window = 5s;
  settings.cold_overload_multiple = 2;
  settings.cold_overload_window = 1s;
  return settings;
}

struct Totals {
  std::size_t sends = 0, retries = 0, queries = 0;
};

// Runs one random scenario of 20 s and returns the rule violations. `hide_drains` hides draining and removed
// engines from the module, to show that the judge detects sends to them.
std::vector<std::string> run_scenario(unsigned seed, Totals& totals, bool hide_drains = false) {
  std::mt19937 random(seed);
  const Settings settings = random_settings(random);
  RuleJudge judge(settings);
  ManagerHarness manager(settings, {});
  std::set<std::string> down, silent;
  struct Pending {
    QueryId query;
    AttemptNumber number;
    std::string engine;
    Time sent;
  };
  std::multimap<Time, Pending> pending;
  const auto make_list = [&](const std::vector<EngineEntry>& entries, EngineListKind kind) {
    for (const auto& entry : entries) {
      judge.listed_engines[entry.engine.name] = entry;
      if (entry.state == EngineState::up)
        judge.unavailable_since.erase(entry.engine.name);
      else
        judge.unavailable_since.emplace(entry.engine.name, manager.now);
    }
    return EngineList{kind, entries};
  };
  const auto handle = [&](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      judge.check(manager.now, action);
      if (const auto* send = std::get_if<Send>(&action)) {
        const auto& query = judge.queries.at(send->query);
        const Time deadline = query.arrived_at + query.request.time_left;
        Duration response_time = std::chrono::milliseconds(5 + random() % 900);
        if (silent.count(send->engine.name) || random() % 20 == 0)
          response_time = deadline - manager.now;  // the response is lost
        if (down.count(send->engine.name)) response_time = 5ms;
        pending.emplace(
            std::min(manager.now + response_time, deadline),
            Pending{send->query, AttemptNumber{static_cast<std::uint32_t>(query.attempts.size() - 1)},
                    send->engine.name, manager.now});
        ++totals.sends;
        totals.retries += query.attempts.size() > 1;
      }
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (auto it = pending.begin(); it != pending.end(); ++it) {
          if (it->second.query != cancel->query || it->second.number != cancel->attempt) continue;
          Pending attempt = it->second;
          pending.erase(it);
          pending.emplace(manager.now, attempt);
          break;
        }
      }
    }
  };
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 5; ++i) {
    auto entry = make_engine("e" + std::to_string(i));
    entry.zone = ZoneId{static_cast<std::uint32_t>(i % 2)};
    entry.kind = KindId{static_cast<std::uint32_t>(i / 2 % 2)};
    entry.cell = CellId{static_cast<std::uint64_t>(i % 3)};
    engines.push_back(entry);
  }
  handle(manager.feed(make_list(engines, EngineListKind::cached)));
  std::uint64_t next_id = 1;
  const Time end = manager.now + 20s;
  while (manager.now < end) {
    manager.now += 5ms;
    while (!manager.timers.empty() && manager.timers.begin()->first <= manager.now) {
      const auto token = manager.timers.begin()->second;
      manager.timers.erase(manager.timers.begin());
      handle(manager.feed(TimerFired{token}));
    }
    const bool accepts_queries = manager.now <= end - 8s;  // so that all are answered by the end
    if (accepts_queries && random() % 3 == 0) {
      QueryArrived request;
      request.query = QueryId{next_id++};
      request.query_class = ClassId{static_cast<std::uint32_t>(random() % settings.classes.size())};
      request.table_group = TableGroupId{random() % 3};
      if (random() % 2) request.order_key = OrderKey{random() % 3};
      if (random() % 2) request.work = std::chrono::milliseconds(1 + random() % 800);
      request.memory_mb = static_cast<double>(random() % 500);
      request.time_left = std::chrono::milliseconds(300 + random() % 5000);
      judge.queries[request.query].request = request;
      judge.queries[request.query].arrived_at = manager.now;
      judge.arrivals.push_back(manager.now);
      if (settings.classes[static_cast<std::size_t>(request.query_class)].ordered && request.order_key)
        judge.queries_by_key[*request.order_key].push_back(request.query);
      ++totals.queries;
      handle(manager.feed(request));
    }
    if (random() % 150 == 0) {  // an engine fails, recovers, restarts or changes its state
      auto& entry = engines[random() % engines.size()];
      const auto& name = entry.engine.name;
      switch (random() % 5) {
        case 0:
          down.count(name) ? (void)down.erase(name) : (void)down.insert(name);
          break;
        case 1:
          silent.count(name) ? (void)silent.erase(name) : (void)silent.insert(name);
          break;
        case 2:
          entry.start_time = manager.now;
          break;
        default:
          entry.state = static_cast<EngineState>(random() % 3);
      }
      auto update = make_list({entry}, EngineListKind::delta);
      if (hide_drains) update.entries[0].state = EngineState::up;
      handle(manager.feed(update));
      if (random() % 8 == 0) {  // list updates were missed, so the full list follows
        std::vector<EngineEntry> listed;
        for (const auto& candidate : engines) {
          if (candidate.state != EngineState::removed || hide_drains) listed.push_back(candidate);
        }
        auto full = make_list(listed, EngineListKind::full);
        if (hide_drains)
          for (auto& listed_entry : full.entries) listed_entry.state = EngineState::up;
        handle(manager.feed(full));
      }
    }
    if (random() % 60 == 0 && !pending.empty()) {
      const auto& attempt = pending.begin()->second;
      handle(manager.feed(AttemptProgress{attempt.query,
                                          attempt.number,
                                          {attempt.engine},
                                          static_cast<ProgressKind>(random() % 4),
                                          static_cast<double>(random() % 100) / 100}));
    }
    if (random() % 200 == 0 && next_id > 1) {
      const QueryId id{1 + random() % (next_id - 1)};
      auto& query = judge.queries.at(id);
      if (query.final_answers == 0 && !query.disconnected)
        query.disconnected = true, handle(manager.feed(ClientDisconnected{id}));
    }
    while (!pending.empty() && pending.begin()->first <= manager.now) {
      const Pending attempt = pending.begin()->second;
      pending.erase(pending.begin());
      auto& query = judge.queries.at(attempt.query);
      Outcome outcome = random() % 5 ? Outcome::served : static_cast<Outcome>(random() % 7);
      if (down.count(attempt.engine)) outcome = random() % 2 ? Outcome::unreachable : Outcome::reset;
      if (manager.now >= query.arrived_at + query.request.time_left) outcome = Outcome::timed_out;
      judge.record_outcome(manager.now, attempt.query, outcome);
      const bool finished = query.final_answers > 0 || query.disconnected;
      if (outcome == Outcome::served && !finished) ++query.final_answers;
      handle(manager.feed(AttemptEnded{attempt.query,
                                       attempt.number,
                                       {attempt.engine},
                                       outcome,
                                       manager.now - attempt.sent,
                                       finished || outcome == Outcome::served,
                                       {}}));
    }
    for (const auto& [id, query] : judge.queries) {
      if (manager.now > query.arrived_at + query.request.time_left + 20ms)
        judge.require(query.final_answers == 1 || query.disconnected, "no final answer in time");
    }
  }
  return judge.violations;
}

TEST(RandomScenarios, KeepAllRules) {
  Totals totals;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    const auto violations = run_scenario(seed, totals);
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
  }
  EXPECT_GT(totals.sends, 5000u);
  EXPECT_GT(totals.retries, 500u);
}

TEST(RandomScenarios, TheJudgeDetectsAControllerThatIsNotNotifiedOfDrains) {
  Totals totals;
  std::set<std::string> all_violations;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    for (const auto& violation : run_scenario(seed, totals, true)) all_violations.insert(violation);
  }
  EXPECT_TRUE(all_violations.count("drain"));
}

}  // namespace
}  // namespace yokestream::policy::testing
