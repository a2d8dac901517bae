// One process of a fleet: its session, its candidacy for leader, the record that it publishes of itself, and
// the share of the load that it may count on. Takes replies, watch responses and the time; returns the one
// request to send next, the watches to keep open, and the share.
//
// Pure: no thread, socket or clock. The same code runs in `serve` (net/coordination_thread.h), on the
// virtual clock and in the exhaustive search. Not thread-safe. Memory: the state of each task and, at the
// leader, the records of all live members while it inspects them.
//
// Requests, in order of precedence (RequestSource):
//
//   session         renews the lease; everything below needs it held
//   format          creates or checks the version of the stored form
//   view            loads the task states; again after its watch ended
//   publish_record  this process's MemberRecord, over the one last seen (S3)
//   election        LeaderElection's next step
//   publish_state   the leader's drafts, under its fencing token and over the states last seen (S1)
//   inspect         the leader reads all member records and staff requests, then drafts
//   revoke_lease    the last request of a graceful shutdown
#pragma once

#include <optional>
#include <string>

#include "coordination/leader_election.h"
#include "coordination/leader_task.h"
#include "coordination/load_shares.h"
#include "coordination/store_keys.h"
#include "coordination/store_session.h"
#include "coordination/store_view.h"

namespace yokestream::coordination {

class FleetMember {
 public:
  static constexpr const char* kLoadShareTask = "shares";
  enum WatchSlot : std::size_t { states, predecessor, kWatchSlots };  // watches to keep open

  // `reported_manager_count`: as the platform reports it. `tasks`: what the leader does beside the load
  // shares; they outlive this.
  FleetMember(const Settings& settings, const std::string& name, const std::string& version,
              std::size_t reported_manager_count, Time start, std::vector<LeaderTask*> tasks = {});
  FleetMember(const FleetMember&) = delete;  // its components refer to settings_

  // ---- the store. One request is in flight at a time: next_request(), on_request_sent(), on_reply().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now);
  void on_reply(Time now, const store::Reply& reply);
  Time next_due(Time now) const;  // of a request; Time::max(): not before a reply
  std::optional<store::WatchRequest> desired_watch(WatchSlot slot) const;  // nullopt: none
  void on_watch_response(WatchSlot slot, const store::WatchResponse& response);
  void on_watch_lost(WatchSlot slot);  // it ended, or could not be opened

  // ---- what this process publishes and is granted
  void set_requests_per_s(double per_s) { own_record_.requests_per_s = per_s; }
  struct LoadGrant {
    LoadShare share = 0;  // until valid_until; from then on share_after
    Time valid_until{};
    LoadShare share_after = 0;
    std::int64_t epoch = -1;  // of the table that grants it; -1: none
    LoadShare share_at(Time now) const { return now + kLeaseMargin < valid_until ? share : share_after; }
    bool operator==(const LoadGrant&) const = default;
  };
  LoadGrant load_grant() const;
  // This process acts on the state of this epoch from now on, and may publish that (S3).
  void acknowledge(std::int64_t epoch);
  void acknowledge(const LeaderTask& task, std::int64_t epoch);
  void set_outcome_tallies(std::map<std::string, std::vector<std::int64_t>> by_plan) {
    own_record_.tallies = std::move(by_plan);
  }
  // What this session was granted is valid before this.
  Time session_held_until() const { return session_.held_until(); }
  void begin_leaving();  // resigns, then revokes the lease
  bool has_left() const { return leaving_ && lease_ended_; }
  bool is_leader() const { return fault_.empty() && election_.is_leader(); }
  store::Revision fencing_token() const { return election_.fencing_token(); }
  store::LeaseId session_lease() const { return session_.lease(); }
  // Empty, or why this member has stopped for good: an unknown form, a malformed record, a store that was
  // restored from an older state.
  const std::string& fault() const { return fault_; }

 private:
  // In order of precedence.
  enum class RequestSource {
    session,
    format,
    view,
    publish_record,
    election,
    publish_state,
    inspect,
    revoke_lease,
    none
  };
  RequestSource next_source(Time now) const;
  Time due_at(RequestSource source) const;
  Time record_due_at() const;
  Time view_due_at() const;
  store::Request build_request(RequestSource source, Time now) const;
  store::Txn build_state_write() const;
  void on_completed(Time now, const store::Completed& completed);
  void on_not_completed(Time now, bool outcome_unknown);
  void on_format_read(const store::Completed& completed);
  void on_fleet_read(Time now, const store::Completed& completed);
  void draft_load_shares(const std::map<std::string, MemberRecord>& live_members);
  void on_record_published(Time now, const store::Completed& completed);
  void apply_load_shares();
  void apply_task_states();
  bool has_drafts() const;
  void drop_drafts();
  void reset_incarnation();

  const Settings settings_;
  const StoreKeys keys_;
  const LoadShareCalculator share_calculator_;
  Time last_held_until_;  // end of the last time that a session was held; at first the start
  StoreSession session_;
  LeaderElection election_;
  StoreView view_;
  MemberRecord own_record_;
  struct TrackedTask {
    LeaderTask* task;
    store::Revision revision = -1;  // of the state that it observed last; 0: none is stored, -1: not observed
    std::string session;            // that it observed last
    std::optional<LeaderTask::Draft> draft;
  };
  std::vector<TrackedTask> tasks_;
  std::optional<MemberRecord> published_record_;  // as it is in the store
  store::Revision published_revision_ = 0;        // of published_record_; 0: not in the store
  RequestSource in_flight_ = RequestSource::none;
  std::optional<LoadShareTable> table_;        // as last seen in the store
  store::Revision table_revision_ = 0;         // of table_; 0: not in the store
  std::optional<LoadShareTable> table_draft_;  // the next table, at the leader
  bool progress_due_ = false;                  // the leader is to publish a sign of progress
  store::Revision drafts_token_ = 0;           // the fencing token under which the drafts were made
  bool format_known_ = false;
  bool leaving_ = false;
  bool lease_ended_ = false;
  LoadShare granted_share_ = 0;   // by the table; 0: none yet
  LoadShare fallback_share_ = 0;  // without a session, from what the last one was granted; 0: none yet
  std::int64_t granted_epoch_ = -1;
  store::Revision highest_revision_ = 0;  // of the store, as far as seen
  Time published_at_ = Time::min();
  Time view_loaded_at_{};
  Time inspect_at_ = Time::min();
  Time retry_at_ = Time::min();
  store::LeaseId incarnation_ = store::LeaseId::none;  // the session that the state above belongs to
  std::string fault_;
};

}  // namespace yokestream::coordination
