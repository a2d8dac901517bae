// FleetMember: handles replies and watch responses of the store and updates the member's state.
#include <algorithm>
#include <utility>

#include "coordination/fleet_member.h"

namespace yokestream::coordination {
namespace {

// Interval between inspections while acknowledgements are missing.
constexpr Duration kAcknowledgementPollInterval = std::chrono::milliseconds(1000);

}  // namespace

void FleetMember::on_reply(Time now, const store::Reply& reply) {
  const auto* completed = std::get_if<store::Completed>(&reply);
  // Failure: the store is restored from an older backup.
  // Symptom: fencing tokens and epochs are reused for different decisions.
  // Guard: a revision below the highest one seen stops this member permanently.
  if (completed && in_flight_ != RequestSource::session && in_flight_ != RequestSource::revoke_lease) {
    if (completed->revision < highest_revision_) fault_ = "the store was restored from an older backup";
    highest_revision_ = std::max(highest_revision_, completed->revision);
  }
  if (!fault_.empty()) return reset_incarnation();
  if (in_flight_ == RequestSource::session) {
    session_.on_reply(now, reply);
    last_held_until_ = std::max(last_held_until_, session_.held_until());
    if (session_.lease() != incarnation_) reset_incarnation();
  } else if (in_flight_ == RequestSource::election) {
    election_.on_reply(now, reply);
    if (election_.is_leader()) inspect_at_ = std::min(inspect_at_, now);
    if (election_.fencing_token() != drafts_token_) drop_drafts();  // prepared under another fencing token
    drafts_token_ = election_.fencing_token();
  } else if (completed) {
    on_completed(now, *completed);
  } else {
    on_not_completed(now, std::holds_alternative<store::OutcomeUnknown>(reply));
  }
  in_flight_ = RequestSource::none;
}

void FleetMember::on_completed(Time now, const store::Completed& completed) {
  retry_at_ = Time::min();
  if (in_flight_ == RequestSource::format) {
    on_format_read(completed);
  } else if (in_flight_ == RequestSource::view) {
    view_.on_loaded(completed);
    view_loaded_at_ = now;
    apply_load_shares();
  } else if (in_flight_ == RequestSource::publish_record) {
    on_record_published(now, completed);
  } else if (in_flight_ == RequestSource::publish_state) {
    drop_drafts();
    progress_due_ = false;
    view_.invalidate();  // the state is read back rather than assumed
    if (!completed.succeeded) election_.on_leadership_lost();
  } else if (in_flight_ == RequestSource::inspect) {
    on_fleet_read(now, completed);
  } else if (in_flight_ == RequestSource::revoke_lease) {
    lease_ended_ = true;
  }
}

void FleetMember::on_format_read(const store::Completed& completed) {
  const bool created = completed.succeeded;
  const bool found = !created && !completed.ranges.empty() && !completed.ranges[0].key_values.empty();
  format_known_ = created || (found && completed.ranges[0].key_values[0].value == kFormat);
  if (!format_known_) fault_ = "unsupported storage format under " + keys_.root;
}

// The outcome of a write that got no reply is determined by reading the state back.
void FleetMember::on_not_completed(Time now, bool outcome_unknown) {
  retry_at_ = now + kRetryPause;
  if (in_flight_ == RequestSource::publish_record) published_record_.reset();
  if (in_flight_ == RequestSource::publish_state && outcome_unknown) {
    drop_drafts();
    view_.invalidate();
  }
  if (in_flight_ == RequestSource::revoke_lease) lease_ended_ = true;  // the lease expires by itself
}

// A rejected write means that an earlier one which timed out was applied after all; the next write replaces
// it.
void FleetMember::on_record_published(Time now, const store::Completed& completed) {
  published_at_ = now;
  if (completed.succeeded) {
    published_revision_ = completed.revision;
    return;
  }
  const bool found = !completed.ranges.empty() && !completed.ranges[0].key_values.empty();
  published_revision_ = found ? completed.ranges[0].key_values[0].mod_revision : 0;
  published_record_.reset();
}

void FleetMember::on_fleet_read(Time now, const store::Completed& completed) {
  if (completed.ranges.empty()) return;
  FleetSnapshot fleet{now, {}, {}, election_.fencing_token()};
  for (const auto& kv : completed.ranges.front().key_values) {
    const auto member = decode_member_record(kv.value);  // a malformed record acknowledges nothing
    if (kv.key.size() > keys_.member().size())
      fleet.members[kv.key.substr(keys_.member().size())] = member.value_or(MemberRecord{});
  }
  if (completed.ranges.size() > 1)
    for (const auto& kv : completed.ranges[1].key_values)
      if (kv.key.size() > keys_.operator_requests().size())
        fleet.operator_requests[kv.key.substr(keys_.operator_requests().size())] = kv.value;
  progress_due_ = true;
  inspect_at_ = now + settings_.inspection_interval;
  draft_load_shares(fleet.members);
  bool pending = !table_draft_ && !LoadShareCalculator::acknowledged(table_.value_or(LoadShareTable{}),
                                                                     fleet.members, kLoadShareTask);
  for (TrackedTask& tracked : tasks_) {
    tracked.draft = tracked.task->next_draft(fleet);
    pending |= tracked.task->has_pending_work();
  }
  if (pending) inspect_at_ = now + std::min(kAcknowledgementPollInterval, settings_.inspection_interval);
}

void FleetMember::draft_load_shares(const std::map<std::string, MemberRecord>& live_members) {
  const LoadShareTable current = table_.value_or(LoadShareTable{});
  if (!(settings_.disabled_guards & Settings::kAcknowledged) &&
      !LoadShareCalculator::acknowledged(current, live_members, kLoadShareTask))
    return;
  table_draft_ = share_calculator_.next_table(current, live_members);
  if (table_draft_) table_draft_->fencing_token = election_.fencing_token();
}

// Passes each task its state from the view, once per revision, as most events concern other keys.
void FleetMember::apply_task_states() {
  const std::string session = incarnation_ == store::LeaseId::none ? "" : session_name(incarnation_);
  for (TrackedTask& tracked : tasks_) {
    const std::string key = keys_.task_state(tracked.task->name());
    const auto* state = view_.find(key);
    const store::Revision revision = state ? state->mod_revision : 0;
    if (revision == tracked.revision && session == tracked.session) continue;
    if (revision != tracked.revision) tracked.draft.reset();  // it was prepared from another state
    tracked.revision = revision;
    tracked.session = session;
    if (!tracked.task->observe(state ? state->value : "", session))
      fault_ = "malformed record in the store: " + key;
  }
}

// Applies the load share table from the view. A malformed table is reported and never overwritten.
void FleetMember::apply_load_shares() {
  const auto* state = view_.find(keys_.task_state(kLoadShareTask));
  const auto previous_revision = std::exchange(table_revision_, state ? state->mod_revision : 0);
  apply_task_states();
  if (!fault_.empty()) return reset_incarnation();
  if (!state) return table_.reset();
  if (!table_ || table_revision_ != previous_revision) {  // most events concern other keys
    auto table = decode_load_share_table(state->value);
    if (!table) {
      fault_ = "malformed record in the store: " + keys_.task_state(kLoadShareTask);
      return reset_incarnation();
    }
    table_ = std::move(table);
  }
  // An earlier write that timed out may have been applied after all. A draft prepared from the table before
  // it is then outdated.
  if (table_draft_ && table_draft_->epoch != table_->epoch + 1) table_draft_.reset();
  const auto own = table_->shares.find(session_name(incarnation_));
  if (own == table_->shares.end() || table_->epoch <= granted_epoch_) return;
  granted_share_ = own->second;
  granted_epoch_ = table_->epoch;
}

// Starts over with a new session, or without one. Grants of the last session end; they only bound the
// fallback share.
void FleetMember::reset_incarnation() {
  incarnation_ = session_.lease();
  if (granted_share_ > 0) fallback_share_ = std::min(granted_share_, share_calculator_.even_share());
  granted_share_ = 0;
  granted_epoch_ = -1;
  for (TrackedTask& tracked : tasks_) {
    tracked.task->observe("", "");
    tracked.revision = -1;
  }
  if (view_.is_loaded() && fault_.empty()) apply_task_states();
  own_record_.acknowledged_epochs.clear();
  published_record_.reset();
  published_revision_ = 0;
  drop_drafts();
  progress_due_ = false;
  if (incarnation_ != store::LeaseId::none) election_.campaign(incarnation_, own_record_.name);
}

// ---- watches

std::optional<store::WatchRequest> FleetMember::desired_watch(WatchSlot slot) const {
  if (leaving_ || !fault_.empty() || incarnation_ == store::LeaseId::none) return std::nullopt;
  if (slot == WatchSlot::predecessor) return election_.predecessor_watch();
  if (!view_.is_loaded()) return std::nullopt;
  return view_.watch_request();
}

void FleetMember::on_watch_response(WatchSlot slot, const store::WatchResponse& response) {
  if (response.canceled || response.compact_revision > 0) return on_watch_lost(slot);
  for (const auto& event : response.events)
    highest_revision_ = std::max(highest_revision_, event.key_value.mod_revision);
  if (slot == WatchSlot::states) {
    view_.on_watch_response(response);
    return apply_load_shares();
  }
  for (const auto& event : response.events)
    if (event.kind == store::WatchEvent::Kind::removed) election_.on_predecessor_gone();
}

void FleetMember::on_watch_lost(WatchSlot slot) {
  if (slot == WatchSlot::states) view_.invalidate();
  if (slot == WatchSlot::predecessor) election_.on_predecessor_gone();
}

}  // namespace yokestream::coordination
