// One process of a fleet: its session, its candidacy in the leader election, its published record, and its
// share of the fleet's load. Takes replies, watch responses and the time; returns the next request to send,
// the watches to keep open, and the share.
//
// Performs no I/O and reads no clock. The same code runs in `serve` (net/coordination_thread.h), in
// simulations on a virtual clock and in an exhaustive state search. Not thread-safe. Memory: the state of
// each task and, at the leader, the records of all live members during an inspection.
//
// Safety rules that comments refer to:
//
//   S1  only the current leader writes task states, under a fencing token that never decreases
//   S2  a session's holder stops acting on it before the store lets its lease expire
//   S3  the leader publishes the next epoch of a state only after every live session has acknowledged the
//       last one
//
// Requests, in order of precedence (RequestSource):
//
//   session         grants or renews the lease; all other requests require that it is held
//   format          creates or checks the version of the storage format
//   view            loads the task states, again each time after their watch has ended
//   publish_record  writes this process's MemberRecord if its stored revision is the one seen last (S3)
//   election        the next step of LeaderElection
//   publish_state   writes the leader's drafts if its fencing token and the states are unchanged (S1)
//   inspect         the leader reads all member records and operator requests, then prepares drafts
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
  // The watches to keep open. `predecessor`: the candidate ahead of this one in the leader election.
  enum WatchSlot : std::size_t { states, predecessor, kWatchSlots };

  // `reported_manager_count`: as reported by the platform. `tasks`: the leader's tasks other than the load
  // shares; they must outlive this.
  FleetMember(const Settings& settings, const std::string& name, const std::string& version,
              std::size_t reported_manager_count, Time start, std::vector<LeaderTask*> tasks = {});
  FleetMember(const FleetMember&) = delete;  // its components hold references to settings_

  // ---- requests, replies and watches of the store
  // One request is in flight at a time: next_request(), then on_request_sent(), then on_reply().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now);
  void on_reply(Time now, const store::Reply& reply);
  Time next_due(Time now) const;  // of the next request; Time::max(): none before a reply
  std::optional<store::WatchRequest> desired_watch(WatchSlot slot) const;  // nullopt: none
  void on_watch_response(WatchSlot slot, const store::WatchResponse& response);
  void on_watch_lost(WatchSlot slot);  // the watch has ended, or could not be opened

  // ---- the published record and the granted share
  void set_requests_per_s(double per_s) { own_record_.requests_per_s = per_s; }
  struct LoadGrant {
    LoadShare share = 0;  // in effect until kLeaseMargin before valid_until
    Time valid_until{};
    LoadShare share_after = 0;  // in effect after that
    std::int64_t epoch = -1;    // of the table that grants the share; -1: no table does
    LoadShare share_at(Time now) const { return now + kLeaseMargin < valid_until ? share : share_after; }
    bool operator==(const LoadGrant&) const = default;
  };
  LoadGrant load_grant() const;
  // Reports that this process acts on the load share table of this epoch, so that its record may say so (S3).
  void acknowledge(std::int64_t epoch);
  // The same for another task's state of this epoch.
  void acknowledge(const LeaderTask& task, std::int64_t epoch);
  void set_outcome_tallies(std::map<std::string, std::vector<std::int64_t>> by_plan) {
    own_record_.tallies = std::move(by_plan);
  }
  // Grants of this session are valid before this time.
  Time session_held_until() const { return session_.held_until(); }
  void begin_leaving();  // resigns, then revokes the lease
  bool has_left() const { return leaving_ && lease_ended_; }
  bool is_leader() const { return fault_.empty() && election_.is_leader(); }
  store::Revision fencing_token() const { return election_.fencing_token(); }
  store::LeaseId session_lease() const { return session_.lease(); }
  // Why this member has stopped permanently: an unsupported storage format, a malformed record, or a store
  // that was restored from an older backup. Empty: it has not.
  const std::string& fault() const { return fault_; }

 private:
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
  Time last_held_until_;  // latest time until which a session was held; the start before the first session
  StoreSession session_;
  LeaderElection election_;
  StoreView view_;
  MemberRecord own_record_;
  struct TrackedTask {
    LeaderTask* task;
    store::Revision revision = -1;  // of the state last passed to observe(); 0: none stored, -1: not called
    std::string session;            // last passed to observe()
    std::optional<LeaderTask::Draft> draft;
  };
  std::vector<TrackedTask> tasks_;
  std::optional<MemberRecord> published_record_;  // the record in the store
  store::Revision published_revision_ = 0;        // of published_record_; 0: not in the store
  RequestSource in_flight_ = RequestSource::none;
  std::optional<LoadShareTable> table_;        // last read from the store
  store::Revision table_revision_ = 0;         // of table_; 0: not in the store
  std::optional<LoadShareTable> table_draft_;  // the next table; at the leader only
  bool progress_due_ = false;                  // the leader has progress to publish
  store::Revision drafts_token_ = 0;           // fencing token under which the drafts were prepared
  bool format_known_ = false;
  bool leaving_ = false;
  bool lease_ended_ = false;
  LoadShare granted_share_ = 0;  // by the table to this session; 0: none
  // Share without a grant: the smaller of the last granted share and the even share; 0: none was ever
  // granted.
  LoadShare fallback_share_ = 0;
  std::int64_t granted_epoch_ = -1;
  store::Revision highest_revision_ = 0;  // highest revision of the store seen so far
  Time published_at_ = Time::min();
  Time view_loaded_at_{};
  Time inspect_at_ = Time::min();
  Time retry_at_ = Time::min();
  store::LeaseId incarnation_ = store::LeaseId::none;  // lease of the session that this state belongs to
  std::string fault_;
};

}  // namespace yokestream::coordination
