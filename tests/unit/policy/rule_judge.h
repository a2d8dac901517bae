// Checks every action of a controller against the rules, independently of the module's own code.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "manager_harness.h"

namespace yokestream::policy::testing {

struct RuleJudge {
  explicit RuleJudge(const Settings& judged_settings) : settings(judged_settings) {}
  struct QueryRecord {
    QueryArrived request;
    Time arrived_at;
    int final_answers = 0;
    bool disconnected = false;
    std::vector<std::pair<std::string, Time>> attempts;  // engine and time of each send
    std::vector<Outcome> outcomes;                       // of the attempts that have ended
    std::size_t in_flight() const { return attempts.size() - outcomes.size(); }
  };
  const Settings settings;
  std::map<QueryId, QueryRecord> queries;
  std::map<std::string, EngineEntry> listed_engines;
  std::map<std::string, Time> unavailable_since;  // engines that drain or are removed
  std::vector<std::string> violations;
  std::deque<Time> arrivals, retries;
  std::map<OrderKey, std::vector<QueryId>> queries_by_key;  // in order of arrival
  std::map<OrderKey, std::pair<Time, QueryId>> key_pauses;  // end of the pause, and the query that caused it

  static bool may_have_run(Outcome outcome) {
    return outcome != Outcome::shed && outcome != Outcome::unreachable && outcome != Outcome::never_sent;
  }
  const ClassSettings& class_of(const QueryRecord& query) const {
    return settings.classes[static_cast<std::size_t>(query.request.query_class)];
  }
  void require(bool condition, const char* violation) {
    if (!condition) violations.push_back(violation);
  }
  void check(Time now, const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) check_send(now, *send);
    if (const auto* reject = std::get_if<Reject>(&action)) {
      auto& query = queries.at(reject->query);
      require(query.final_answers++ == 0 && !query.disconnected, "two final answers");
      const auto& query_class = class_of(query);
      bool may_have = query.in_flight() > 0;
      for (const Outcome outcome : query.outcomes) may_have |= may_have_run(outcome);
      require(!may_have || query_class.idempotency == Idempotency::idempotent ||
                  (query_class.idempotency == Idempotency::keyed &&
                   query_class.deduplication_scope == DeduplicationScope::everywhere),
              "rejected although it may have run");
    }
    if (const auto* fail = std::get_if<Fail>(&action)) {
      auto& query = queries.at(fail->query);
      require(query.final_answers++ == 0 && !query.disconnected, "two final answers");
    }
  }
  void check_send(Time now, const Send& send) {
    auto& query = queries.at(send.query);
    const auto& query_class = class_of(query);
    const auto& entry = listed_engines.at(send.engine.name);
    require(query.final_answers == 0 && !query.disconnected, "sent after its end");
    require(query.in_flight() == 0, "two attempts at once");
    require(query.attempts.size() < settings.max_attempts, "too many attempts");
    if (unavailable_since.count(send.engine.name))
      require(now - unavailable_since[send.engine.name] <= settings.drain_grace, "drain");
    const auto& zones = query_class.allowed_zones;
    if (!zones.empty()) require(std::count(zones.begin(), zones.end(), entry.zone), "placement");
    const auto& kinds = query_class.allowed_kinds;
    if (!kinds.empty()) require(std::count(kinds.begin(), kinds.end(), entry.kind), "placement");
    for (std::size_t i = 0; i < query.outcomes.size(); ++i) {
      if (!may_have_run(query.outcomes[i])) continue;
      require(query_class.idempotency != Idempotency::non_idempotent, "non-idempotent query repeated");
      if (query_class.idempotency != Idempotency::keyed) continue;
      require(now - query.attempts[i].second <= query_class.deduplication_window,
              "keyed query repeated after its window");
      const auto& first = listed_engines.at(query.attempts[i].first);
      if (query_class.deduplication_scope == DeduplicationScope::cell)
        require(first.cell == entry.cell, "keyed query repeated outside its cell");
      if (query_class.deduplication_scope == DeduplicationScope::zone)
        require(first.zone == entry.zone, "keyed query repeated outside its zone");
    }
    if (query_class.ordered && query.request.order_key) check_order(now, send, *query.request.order_key);
    if (!query.attempts.empty() && settings.retry_budget_enabled) check_retry_budget(now);
    query.attempts.emplace_back(send.engine.name, now);
  }
  void check_order(Time now, const Send& send, OrderKey key) {
    for (const QueryId earlier_id : queries_by_key[key]) {
      if (earlier_id == send.query) break;
      const auto& earlier = queries.at(earlier_id);
      require((earlier.final_answers > 0 || earlier.disconnected) && earlier.in_flight() == 0, "order");
    }
    const auto pause = key_pauses.find(key);
    if (pause != key_pauses.end() && pause->second.second != send.query)
      require(now >= pause->second.first, "order pause");
  }
  void check_retry_budget(Time now) {
    retries.push_back(now);
    const auto count_in_window = [&](const std::deque<Time>& times) {
      return static_cast<double>(std::count_if(
          times.begin(), times.end(), [&](Time time) { return time > now - settings.retry_budget_window; }));
    };
    require(count_in_window(retries) <= settings.retry_budget_min_retries +
                                            settings.retry_budget_ratio * count_in_window(arrivals) + 1e-9,
            "retry budget");
  }
  void record_outcome(Time now, QueryId id, Outcome outcome) {
    auto& query = queries.at(id);
    query.outcomes.push_back(outcome);
    if (class_of(query).ordered && query.request.order_key &&
        (outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled)) {
      key_pauses[*query.request.order_key] = {now + settings.order_pause, id};
    }
  }
};

}  // namespace yokestream::policy::testing
