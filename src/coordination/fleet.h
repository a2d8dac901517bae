// One process of a fleet: its session, its place in the line for the duty, what it tells of itself, and the
// part of the load that it may count on. The decider of src/duty: told replies, watch messages and the time;
// answers with the one request to ask next, the watches to keep open, and its part.
//
// Pure: no thread, socket or clock. The same code runs in `serve` (net/fleet_keeper.h), on the virtual clock
// and in the exhaustive search. One thread at a time. Memory: the state of one duty and, at its owner, the
// facts of all living processes while it looks at them.
#pragma once

#include <optional>
#include <string>

#include "coordination/duty.h"
#include "coordination/election.h"
#include "coordination/names.h"
#include "coordination/session.h"
#include "coordination/shares.h"
#include "coordination/view.h"

namespace yokestream::coordination {

class FleetMember {
 public:
  static constexpr const char* kLoadShareTask = "shares";
  enum WatchSlot : std::size_t { states, predecessor, kWatchSlots };  // the watches that it wants open

  // `told`: managers that the platform tells of.
  // `duties`: what else the owner does, beside the shares; they outlive this.
  FleetMember(const Settings& settings, const std::string& name, const std::string& version, std::size_t told,
              Time start, std::vector<LeaderTask*> duties = {});
  FleetMember(const FleetMember&) = delete;  // its parts hold its settings

  // ---- the store. One request is out at a time: next(), asked(), replied().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now);
  void on_reply(Time now, const store::Reply& reply);
  Time next_due(Time now) const;  // when next() has something; Time::max(): not before a reply
  std::optional<store::WatchRequest> desired_watch(WatchSlot slot) const;  // nullopt: none
  void on_watch_response(WatchSlot slot, const store::WatchResponse& watched);
  void on_watch_lost(WatchSlot slot);  // it is over, or could not be opened

  // ---- what this process tells and is told
  void set_requests_per_s(double per_s) { fact_.requests_per_s = per_s; }
  struct LoadGrant {
    LoadShare share = 0;  // until `until`, on this clock; from then on `after`
    Time valid_until{};
    LoadShare share_after = 0;
    std::int64_t epoch = -1;  // of the table that says so
    LoadShare share_at(Time now) const { return now + kLeaseMargin < valid_until ? share : share_after; }
    bool operator==(const LoadGrant&) const = default;
  };
  LoadGrant load_grant() const;
  // This process acts on the table of this epoch (S3): it says so only from now on.
  void acknowledge(std::int64_t epoch);
  void acknowledge(const LeaderTask& duty, std::int64_t epoch);
  void set_outcome_tallies(std::map<std::string, std::vector<std::int64_t>> by_plan) {
    fact_.tallies = std::move(by_plan);
  }
  Time session_held_until() const {
    return session_.held_until();
  }                      // what this session was granted holds before this
  void begin_leaving();  // gives up its place, then its lease
  bool has_left() const { return leaving_ && lease_over_; }
  bool is_leader() const { return trouble_.empty() && election_.is_leader(); }
  store::Revision fencing_token() const { return election_.fencing_token(); }
  store::LeaseId session_lease() const { return session_.lease(); }
  // Empty, or why it stands still: a foreign form, an unreadable record, a store that was set back.
  const std::string& fault() const { return trouble_; }

 private:
  // Who of its parts asks next, in this order.
  enum class Asker { session, format, view, tell, election, publish, look, revoke, nobody };
  Asker asker(Time now) const;
  Time due_of(Asker asker) const;
  store::Request request_of(Asker asker, Time now) const;
  void take(Time now, const store::Completed& done);
  void missed(Time now, bool unknown);
  void looked(Time now, const store::Completed& done);
  void draft_shares(const std::map<std::string, MemberRecord>& living);
  void told(Time now, const store::Completed& done);
  void see_state();
  void see_duties();
  bool drafted() const;
  void drop_drafts();
  void begin_again();

  const Settings settings_;
  const StoreKeys names_;
  const LoadShareCalculator shares_;
  Time heard_;  // until when its session was held last; at first its start
  StoreSession session_;
  LeaderElection election_;
  StoreView view_;
  MemberRecord fact_;
  struct Held {  // one of the duties
    LeaderTask* duty;
    store::Revision mod = -1;  // of its state as it saw it last; 0: there was none, -1: it saw nothing
    std::string session;       // and whose it saw
    std::optional<LeaderTask::Draft> draft;
  };
  std::vector<Held> duties_;
  std::optional<MemberRecord> told_;  // as it stands in the store
  store::Revision told_mod_ = 0;      // and its revision there; 0: it is not there
  Asker out_ = Asker::nobody;
  std::optional<LoadShareTable> table_;  // the duty's state as last seen
  store::Revision state_mod_ = 0;        // its revision; 0: there is none
  std::optional<LoadShareTable> draft_;  // what the owner is to write: the table that follows
  bool beat_ = false;                    // or a sign that it goes on
  store::Revision drafted_in_ = 0;       // the term that the drafts are of
  bool known_format_ = false, leaving_ = false, lease_over_ = false;
  LoadShare granted_ = 0, base_ = 0;  // by the table; without one, as an earlier one left it. 0: none yet
  std::int64_t epoch_ = -1;
  store::Revision highest_ = 0;  // of the store, as far as seen
  Time told_at_ = Time::min(), view_at_{}, look_at_ = Time::min(), again_ = Time::min();
  store::LeaseId of_ = store::LeaseId::none;  // the incarnation that all this is of
  std::string trouble_;
};

}  // namespace yokestream::coordination
