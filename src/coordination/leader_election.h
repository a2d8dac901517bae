// Elects the leader of one task among the candidates in the store.
//
// Each candidate has a key attached to its lease. The candidate with the lowest create revision leads, and
// that revision is its fencing token: every write of the leader compares it (S1). Each candidate watches only
// its predecessor, so that the end of a leader notifies one process. A leader that publishes no progress for
// Settings::progress_timeout is removed by its successor. Candidates further back read the progress too, as
// their predecessor may have become the leader since.
//
//   state                        step              next state, once completed
//   not a candidate              join              leader, or behind a predecessor
//   outcome unknown, reread due  read_candidates   as read from the store
//   leader                       read_candidates   same, or not a candidate; once per progress_timeout
//   behind a predecessor         read_progress     same; three times per progress_timeout behind the leader
//   no progress for a timeout    read_candidates   the predecessor leads, or not
//   and the predecessor leads    remove_leader     reread due
//   resigning                    withdraw          not a candidate
//
// If a write gets no reply, the candidates are read before any further step. Performs no I/O; not
// thread-safe. Memory: fixed.
#pragma once

#include <optional>
#include <string>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

class LeaderElection {
 public:
  // `candidates`: key prefix of the candidates; `progress_key`: written by the leader when it makes progress.
  // `settings` must outlive this.
  LeaderElection(const Settings& settings, std::string candidates, std::string progress_key)
      : settings_(settings),
        candidates_prefix_(std::move(candidates)),
        progress_key_(std::move(progress_key)) {}

  // Becomes a candidate under this lease. The candidacy under another lease ends.
  void campaign(store::LeaseId lease, const std::string& name);
  void resign();  // the next requests withdraw the candidacy
  // The request to send now; nullopt: none is due. One request is in flight at a time: call
  // on_request_sent(), then on_reply().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent() { in_flight_ = true; }
  void on_reply(Time now, const store::Reply& reply);
  Time next_due() const;

  // Watch to keep open on the predecessor's key; nullopt: there is no predecessor.
  std::optional<store::WatchRequest> predecessor_watch() const;
  // The predecessor has left, or its watch has ended.
  void on_predecessor_gone() { needs_reread_ = true; }
  // A write under this fencing token was rejected.
  void on_leadership_lost() {
    candidate_revision_ = 0;
    needs_reread_ = true;
  }

  bool is_leader() const {
    return candidate_revision_ > 0 && predecessor_key_.empty() && !needs_reread_ && !resigning_;
  }
  bool has_resigned() const { return candidate_revision_ == 0 && !outcome_unknown_; }
  store::Revision fencing_token() const { return candidate_revision_; }
  // All state except times, as text; elections with equal digests behave alike. For state searches in tests.
  std::string digest() const;
  store::Compare leadership_guard() const {
    return {store::Compare::Target::create_revision, own_key_, candidate_revision_, {}};
  }

 private:
  enum class Step { join, read_candidates, withdraw, read_progress, remove_leader };
  bool progress_timed_out() const {
    return progress_read_at_ >= progress_since_ + settings_.progress_timeout;
  }
  Step next_step() const;
  void forget_candidacy();
  void on_candidates_read(Time now, const store::Completed& completed);
  void on_progress_read(Time now, const store::Completed& completed);

  const Settings& settings_;
  const std::string candidates_prefix_, progress_key_;
  std::string own_key_, name_;
  std::string predecessor_key_;  // empty: no predecessor
  store::LeaseId lease_ = store::LeaseId::none;
  store::Revision candidate_revision_ = 0;    // create revision of own_key_; 0: not a candidate
  store::Revision predecessor_revision_ = 0;  // create revision of predecessor_key_
  store::Revision observed_revision_ = 0;     // store revision at which the candidates were read
  bool in_flight_ = false;                    // a request awaits its reply
  bool needs_reread_ = false;
  bool outcome_unknown_ = false;  // of the last write
  bool resigning_ = false;
  bool predecessor_is_leader_ = false;
  store::Revision progress_revision_ = -1;  // mod revision of progress_key_; -1: not read yet
  Time progress_since_{};                   // when progress_revision_ was first read
  Time progress_read_at_{};
  Time candidates_read_at_{};
  Time retry_at_ = Time::min();
};

}  // namespace yokestream::coordination
