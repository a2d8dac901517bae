// Judges every action by the rules; it knows nothing of the module.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "manager_harness.h"

namespace yokestream::policy::testing {

struct RuleJudge {
  explicit RuleJudge(const Settings& settings) : s(settings) {}
  struct Seen {
    QueryArrived request;
    Time came;
    int finals = 0;
    bool left = false;
    std::vector<std::pair<std::string, Time>> tries;
    std::vector<Outcome> ends;
    std::size_t out() const { return tries.size() - ends.size(); }
  };
  const Settings s;
  std::map<QueryId, Seen> seen;
  std::map<std::string, EngineEntry> listed;
  std::map<std::string, Time> removed_at;
  std::vector<std::string> broken;
  std::deque<Time> taken, extra;
  std::map<OrderKey, std::vector<QueryId>> lines;
  std::map<OrderKey, std::pair<Time, QueryId>> quiet_until;

  static bool ran(Outcome o) {
    return o != Outcome::shed && o != Outcome::unreachable && o != Outcome::never_sent;
  }
  void need(bool good, const char* rule) {
    if (!good) broken.push_back(rule);
  }
  void act(Time now, const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) on_send(now, *send);
    if (const auto* refuse = std::get_if<Reject>(&action)) {
      auto& q = seen.at(refuse->query);
      need(q.finals++ == 0 && !q.left, "two final answers");
      const auto& c = s.classes[static_cast<std::size_t>(q.request.query_class)];
      bool may_have = q.out() > 0;
      for (const Outcome o : q.ends) may_have |= ran(o);
      need(!may_have || c.idempotency == Idempotency::idempotent ||
               (c.idempotency == Idempotency::keyed &&
                c.deduplication_scope == DeduplicationScope::everywhere),
           "refused though it may have run");
    }
    if (const auto* fail = std::get_if<Fail>(&action)) {
      auto& q = seen.at(fail->query);
      need(q.finals++ == 0 && !q.left, "two final answers");
    }
  }
  void on_send(Time now, const Send& send) {
    auto& q = seen.at(send.query);
    const auto& c = s.classes[static_cast<std::size_t>(q.request.query_class)];
    const auto& e = listed.at(send.engine.name);
    need(q.finals == 0 && !q.left, "sent after its end");
    need(q.out() == 0, "two attempts at once");
    need(q.tries.size() < s.max_attempts, "too many attempts");
    if (removed_at.count(send.engine.name))
      need(now - removed_at[send.engine.name] <= s.drain_grace, "drain");
    if (!c.allowed_zones.empty())
      need(std::count(c.allowed_zones.begin(), c.allowed_zones.end(), e.zone), "placement");
    if (!c.allowed_kinds.empty())
      need(std::count(c.allowed_kinds.begin(), c.allowed_kinds.end(), e.kind), "placement");
    for (std::size_t i = 0; i < q.ends.size(); ++i) {
      if (!ran(q.ends[i])) continue;
      need(c.idempotency != Idempotency::non_idempotent, "unsafe repeated");
      if (c.idempotency != Idempotency::keyed) continue;
      need(now - q.tries[i].second <= c.deduplication_window, "keyed after its window");
      const auto& first = listed.at(q.tries[i].first);
      if (c.deduplication_scope == DeduplicationScope::cell)
        need(first.cell == e.cell, "keyed outside its cell");
      if (c.deduplication_scope == DeduplicationScope::zone)
        need(first.zone == e.zone, "keyed outside its zone");
    }
    if (c.ordered && q.request.order_key) {
      const auto key = *q.request.order_key;
      for (const QueryId before : lines[key]) {
        if (before == send.query) break;
        const auto& b = seen.at(before);
        need((b.finals > 0 || b.left) && b.out() == 0, "order");
      }
      const auto it = quiet_until.find(key);
      if (it != quiet_until.end() && it->second.second != send.query)
        need(now >= it->second.first, "order pause");
    }
    if (!q.tries.empty() && s.retry_budget_enabled) {
      extra.push_back(now);
      const auto within = [&](const std::deque<Time>& times) {
        return std::count_if(times.begin(), times.end(),
                             [&](Time t) { return t > now - s.retry_budget_window; });
      };
      need(static_cast<double>(within(extra)) <=
               s.retry_budget_min_retries + s.retry_budget_ratio * static_cast<double>(within(taken)) + 1e-9,
           "budget");
    }
    q.tries.emplace_back(send.engine.name, now);
  }
  void ended(Time now, QueryId id, Outcome o) {
    auto& q = seen.at(id);
    q.ends.push_back(o);
    const auto& c = s.classes[static_cast<std::size_t>(q.request.query_class)];
    if (c.ordered && q.request.order_key &&
        (o == Outcome::timed_out || o == Outcome::reset || o == Outcome::cancelled)) {
      quiet_until[*q.request.order_key] = {now + s.order_pause, id};
    }
  }
};

}  // namespace yokestream::policy::testing
