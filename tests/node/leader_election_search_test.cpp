// Exhaustive bounded search of all states of two candidates and their store: calls that are lost, delivered
// after the caller has timed out, or reordered; leases that end unnoticed; late watch events; a leader that
// makes no progress. Visited states are hashed and counted.
#include <deque>
#include <unordered_set>

#include "coordination_fixture.h"
#include "store/gateway_codec.h"

namespace yokestream::test {
namespace {

using coordination::LeaderElection;

constexpr std::size_t kCandidates = 2;
// Calls of one candidate: one that timed out is delivered late or lost before the next one is sent.
constexpr std::size_t kMaxCallsInTransit = 1;
constexpr store::Revision kMaxRevision = 7;  // states beyond this revision are not searched
constexpr int kMaxWrites = 1;                // state writes of one candidate
const Time kNow{1000s};
const coordination::Settings kSettings;
const std::string kCandidatesPrefix = "d/line/", kProgressKey = "d/beat", kStateKey = "d/state";

struct Call {
  store::Request request;
  std::string digest = store::encode(request).body;  // computed once, as states are copied often
};
struct Candidate {
  LeaderElection election{kSettings, kCandidatesPrefix, kProgressKey};
  std::optional<store::Request> in_flight;  // the request that awaits its reply
  std::vector<Call> in_transit;
  std::optional<store::Reply> reply_pending;
  std::size_t incarnation = 0;
  int writes = 0;
  bool lease_ended = false, writing = false, clock_advanced = false;
  Time now() const { return clock_advanced ? kNow + kSettings.progress_timeout + 1s : kNow; }
};
struct World {
  standin::StoreModel store;
  std::array<Candidate, kCandidates> candidates;
  store::Revision last_token = 0;
  std::string violation;
};

store::LeaseId lease_of(std::size_t p, std::size_t incarnation) {
  return store::LeaseId(1001 + p + kCandidates * incarnation);
}

std::string digest(const World& w) {
  std::string out = std::to_string(w.store.revision());
  for (const auto& kv : w.store.range({"d/", "d0", 0}))
    out += kv.key + std::to_string(kv.create_revision) + ',' + std::to_string(kv.mod_revision) + kv.value;
  for (const auto& c : w.candidates) {
    out += '\n' + c.election.digest() + std::to_string(c.incarnation) + std::to_string(c.writes);
    for (const bool b : {c.lease_ended, c.writing, c.clock_advanced, c.in_flight.has_value()})
      out += b ? '1' : '0';
    for (const auto& m : c.in_transit) out += '>' + m.digest;
    if (const auto* done = c.reply_pending ? std::get_if<store::Completed>(&*c.reply_pending) : nullptr) {
      out += '<' + std::to_string(done->revision) + (done->succeeded ? 'y' : 'n');
      for (const auto& r : done->ranges)
        for (const auto& kv : r.key_values)
          out += kv.key + std::to_string(kv.create_revision) + ',' + std::to_string(kv.mod_revision);
    }
  }
  return out;
}

// S1: only the leader writes the state, under a fencing token that never decreases.
void check(World& w) {
  const auto state = w.store.range({kStateKey, {}, 0});
  if (state.empty() || state[0].mod_revision != w.store.revision()) return;
  store::Revision oldest = 0;
  for (const auto& kv : w.store.range({kCandidatesPrefix, store::prefix_range_end(kCandidatesPrefix), 0}))
    oldest = oldest == 0 ? kv.create_revision : std::min(oldest, kv.create_revision);
  const store::Revision token = std::stoll(state[0].value);
  if (token != oldest)
    w.violation = "S1: written under token " + state[0].value + ", the leader's is " + std::to_string(oldest);
  if (token < w.last_token) w.violation = "S1: the token decreased";
  w.last_token = token;
}

// Visits the result of each step that candidate p and its link to the store can take from this state.
template <class Visit>
void steps(const World& from, std::size_t p, bool guarded, Visit visit) {
  const auto step = [&](auto change) {
    World next = from;
    change(next, next.candidates[p]);
    if (next.store.revision() <= kMaxRevision) visit(std::move(next));
  };
  const Candidate& c = from.candidates[p];
  const bool free = !c.in_flight && c.in_transit.size() < kMaxCallsInTransit;
  const auto send = [](Candidate& n, store::Request r) {
    n.in_flight = r;
    n.in_transit.push_back({std::move(r)});
  };
  if (free && c.election.next_request(c.now()))
    step([&](World&, Candidate& n) {
      send(n, *n.election.next_request(n.now()));
      n.election.on_request_sent();
    });
  if (free && c.election.is_leader() && c.writes < kMaxWrites)
    step([&](World&, Candidate& n) {
      store::Txn txn{{},
                     {store::Put{kStateKey, std::to_string(n.election.fencing_token()), {}},
                      store::Put{kProgressKey, "", {}}},
                     {}};
      if (guarded) txn.compares.push_back(n.election.leadership_guard());
      send(n, txn);
      n.writing = true;
      ++n.writes;
    });
  for (std::size_t m = 0; m < c.in_transit.size(); ++m) {
    step([&](World&, Candidate& n) {
      n.in_transit.erase(n.in_transit.begin() + static_cast<long>(m));
    });                                 // lost
    step([&](World& w, Candidate& n) {  // delivered; no reply if the caller has timed out
      const auto result = w.store.handle(kNow, n.in_transit[m].request);
      const bool awaited = n.in_flight && m + 1 == n.in_transit.size();
      n.in_transit.erase(n.in_transit.begin() + static_cast<long>(m));
      if (awaited)
        n.reply_pending = result.code == 0 ? store::Reply(result.done) : store::Failed{result.message, false};
      check(w);
    });
  }
  const auto deliver = [](Candidate& n, const store::Reply& reply) {
    n.in_flight.reset();
    n.reply_pending.reset();
    const auto* done = std::get_if<store::Completed>(&reply);
    if (!std::exchange(n.writing, false)) return n.election.on_reply(n.now(), reply);
    if (done && !done->succeeded) n.election.on_leadership_lost();
  };
  if (c.reply_pending) step([&](World&, Candidate& n) { deliver(n, store::Reply(*n.reply_pending)); });
  if (c.in_flight)  // time-out: the request may still be delivered, or its reply was lost
    step([&](World&, Candidate& n) {
      const store::Reply no_reply = store::may_change(*n.in_flight) ? store::Reply(store::OutcomeUnknown{""})
                                                                    : store::Failed{"", false};
      deliver(n, no_reply);
    });
  if (!c.lease_ended && c.incarnation < 1)
    step([&](World& w, Candidate& n) {
      n.lease_ended = true;
      w.store.handle(kNow, store::RevokeLease{lease_of(p, n.incarnation)});
    });
  if (c.lease_ended && !c.in_flight)  // the candidate notices and joins again
    step([&](World&, Candidate& n) {
      n.lease_ended = false;
      ++n.incarnation;
      n.election.campaign(lease_of(p, n.incarnation), "n");
    });
  const auto predecessor = c.election.predecessor_watch();
  if (predecessor && from.store.range({predecessor->key, {}, 0}).empty())
    step([&](World&, Candidate& n) { n.election.on_predecessor_gone(); });
  if (p == 1 && !c.clock_advanced) step([&](World&, Candidate& n) { n.clock_advanced = true; });
}

struct SearchResult {
  std::size_t states = 0;
  std::string violation;
  bool both_led = false;  // one after the other, so that the search covers a change of leader
};
SearchResult search(bool guarded) {
  World begin;
  for (std::size_t i = 0; i < 2 * kCandidates; ++i) begin.store.handle(kNow, store::GrantLease{1000});
  for (std::size_t p = 0; p < kCandidates; ++p) begin.candidates[p].election.campaign(lease_of(p, 0), "n");
  SearchResult result;
  std::unordered_set<std::size_t> visited;
  std::deque<World> frontier{begin};
  while (!frontier.empty() && result.violation.empty()) {
    const World world = std::move(frontier.front());
    frontier.pop_front();
    for (std::size_t p = 0; p < kCandidates; ++p) {
      steps(world, p, guarded, [&](World next) {
        if (!visited.insert(std::hash<std::string>()(digest(next))).second) return;
        result.both_led = result.both_led || (next.candidates[0].writes > 0 && next.candidates[1].writes > 0);
        if (!next.violation.empty()) result.violation = next.violation;
        frontier.push_back(std::move(next));
      });
    }
  }
  result.states = visited.size();
  return result;
}

TEST_CASE("a former leader can't write in any order of calls, losses, pauses and lease ends") {
  const SearchResult result = search(true);
  MESSAGE("states: " << result.states);
  CHECK(result.violation == "");
  CHECK(result.both_led);
  CHECK(result.states > 10'000);
}

TEST_CASE("the search finds a write of a former leader if writes don't compare the fencing token") {
  const SearchResult result = search(false);
  MESSAGE("states until the violation was found: " << result.states);
  CHECK(result.violation.rfind("S1", 0) == 0);
}

}  // namespace
}  // namespace yokestream::test
