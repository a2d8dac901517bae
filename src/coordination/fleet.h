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

class Fleet {
 public:
  static constexpr const char* kDuty = "shares";
  enum Slot : std::size_t { states, ahead, kSlots };  // the watches that it wants open

  // `told`: managers that the platform tells of.
  // `duties`: what else the owner does, beside the shares; they outlive this.
  Fleet(const Settings& settings, const std::string& name, const std::string& version, std::size_t told,
        Time start, std::vector<Duty*> duties = {});
  Fleet(const Fleet&) = delete;  // its parts hold its settings

  // ---- the store. One request is out at a time: next(), asked(), replied().
  std::optional<store::Request> next(Time now) const;
  void asked(Time now);
  void replied(Time now, const store::Reply& reply);
  Time due(Time now) const;  // when next() has something; Time::max(): not before a reply
  std::optional<store::Watch> wanted(Slot slot) const;  // nullopt: none
  void heard(Slot slot, const store::Watched& watched);
  void cut(Slot slot);  // it is over, or could not be opened

  // ---- what this process tells and is told
  void traffic(double per_s) { fact_.traffic = per_s; }
  struct Allowed {
    Part part = 0;  // until `until`, on this clock; from then on `after`
    Time until{};
    Part after = 0;
    std::int64_t epoch = -1;  // of the table that says so
    Part at(Time now) const { return now + kSpare < until ? part : after; }
    bool operator==(const Allowed&) const = default;
  };
  Allowed allowed() const;
  // This process acts on the table of this epoch (S3): it says so only from now on.
  void applied(std::int64_t epoch);
  void applied(const Duty& duty, std::int64_t epoch);
  void tallies(std::map<std::string, std::vector<std::int64_t>> by_plan) {
    fact_.tallies = std::move(by_plan);
  }
  Time until() const { return session_.until(); }  // what this session was granted holds before this
  void leave();                                    // gives up its place, then its lease
  bool left() const { return leaving_ && lease_over_; }
  bool owner() const { return trouble_.empty() && election_.owner(); }
  store::Revision term() const { return election_.term(); }
  store::LeaseId session() const { return session_.lease(); }
  // Empty, or why it stands still: a foreign form, an unreadable record, a store that was set back.
  const std::string& trouble() const { return trouble_; }

 private:
  // Who of its parts asks next, in this order.
  enum class Asker { session, format, view, tell, election, publish, look, revoke, nobody };
  Asker asker(Time now) const;
  Time due_of(Asker asker) const;
  store::Request request_of(Asker asker, Time now) const;
  void take(Time now, const store::Done& done);
  void missed(Time now, bool unknown);
  void looked(Time now, const store::Done& done);
  void draft_shares(const std::map<std::string, Fact>& living);
  void told(Time now, const store::Done& done);
  void see_state();
  void see_duties();
  bool drafted() const;
  void drop_drafts();
  void begin_again();

  const Settings settings_;
  const Names names_;
  const Shares shares_;
  Time heard_;  // until when its session was held last; at first its start
  Session session_;
  Election election_;
  View view_;
  Fact fact_;
  struct Held {  // one of the duties
    Duty* duty;
    store::Revision mod = -1;  // of its state as it saw it last; 0: there was none, -1: it saw nothing
    std::string session;       // and whose it saw
    std::optional<Duty::Draft> draft;
  };
  std::vector<Held> duties_;
  std::optional<Fact> told_;      // as it stands in the store
  store::Revision told_mod_ = 0;  // and its revision there; 0: it is not there
  Asker out_ = Asker::nobody;
  std::optional<Table> table_;      // the duty's state as last seen
  store::Revision state_mod_ = 0;   // its revision; 0: there is none
  std::optional<Table> draft_;      // what the owner is to write: the table that follows
  bool beat_ = false;               // or a sign that it goes on
  store::Revision drafted_in_ = 0;  // the term that the drafts are of
  bool known_format_ = false, leaving_ = false, lease_over_ = false;
  Part granted_ = 0, base_ = 0;  // by the table; without one, as an earlier one left it. 0: none yet
  std::int64_t epoch_ = -1;
  store::Revision highest_ = 0;  // of the store, as far as seen
  Time told_at_ = Time::min(), view_at_{}, look_at_ = Time::min(), again_ = Time::min();
  store::LeaseId of_ = store::LeaseId::none;  // the incarnation that all this is of
  std::string trouble_;
};

}  // namespace yokestream::coordination
