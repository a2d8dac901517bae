// What comes back from the store, and what follows from it.
#include <algorithm>
#include <utility>

#include "coordination/fleet.h"

namespace yokestream::coordination {
namespace {

constexpr Duration kLookAgain = std::chrono::milliseconds(1000);  // while acknowledgements are missing

}  // namespace

void FleetMember::on_reply(Time now, const store::Reply& reply) {
  const auto* done = std::get_if<store::Completed>(&reply);
  // A store that was set back knows less than was decided upon: terms and epochs would come again.
  if (done && out_ != Asker::session && out_ != Asker::revoke) {
    if (done->revision < highest_) trouble_ = "the store was set back to an older state";
    highest_ = std::max(highest_, done->revision);
  }
  if (!trouble_.empty()) return begin_again();
  if (out_ == Asker::session) {
    session_.on_reply(now, reply);
    heard_ = std::max(heard_, session_.held_until());
    if (session_.lease() != of_) begin_again();
  } else if (out_ == Asker::election) {
    election_.on_reply(now, reply);
    if (election_.is_leader()) look_at_ = std::min(look_at_, now);
    if (election_.fencing_token() != drafted_in_) drop_drafts();  // they were this owner's in another term
    drafted_in_ = election_.fencing_token();
  } else if (done) {
    take(now, *done);
  } else {
    missed(now, std::holds_alternative<store::OutcomeUnknown>(reply));
  }
  out_ = Asker::nobody;
}

void FleetMember::take(Time now, const store::Completed& done) {
  again_ = Time::min();
  const bool refused = !done.succeeded;
  if (out_ == Asker::format) {
    const auto* found = refused && !done.ranges.empty() && !done.ranges[0].key_values.empty()
                            ? &done.ranges[0].key_values[0]
                            : nullptr;
    known_format_ = !refused || (found && found->value == kFormat);
    if (!known_format_) trouble_ = "the store holds another form under " + names_.root;
  } else if (out_ == Asker::view) {
    view_.on_loaded(done);
    view_at_ = now;
    see_state();
  } else if (out_ == Asker::tell) {
    told(now, done);
  } else if (out_ == Asker::publish) {
    drop_drafts(), beat_ = false;
    view_.invalidate();  // what stands there now is read, not presumed
    if (refused) election_.on_leadership_lost();
  } else if (out_ == Asker::look) {
    looked(now, done);
  } else if (out_ == Asker::revoke) {
    lease_over_ = true;
  }
}

// A call that may have counted is settled by reading: of what this process wrote only the owner's table is
// not its own alone.
void FleetMember::missed(Time now, bool unknown) {
  again_ = now + kRetryPause;
  if (out_ == Asker::tell) told_.reset();
  if (out_ == Asker::publish && unknown) drop_drafts(), view_.invalidate();
  if (out_ == Asker::revoke) lease_over_ = true;  // it ends by itself
}

// Refused: one that was given up has come after all. The next goes over that one.
void FleetMember::told(Time now, const store::Completed& done) {
  told_at_ = now;
  if (done.succeeded) {
    told_mod_ = done.revision;
    return;
  }
  const bool there = !done.ranges.empty() && !done.ranges[0].key_values.empty();
  told_mod_ = there ? done.ranges[0].key_values[0].mod_revision : 0;
  told_.reset();
}

void FleetMember::looked(Time now, const store::Completed& done) {
  if (done.ranges.empty()) return;
  FleetSnapshot looked{now, {}, {}, election_.fencing_token()};
  for (const auto& kv : done.ranges.front().key_values) {
    const auto fact = decode_member_record(kv.value);  // one that makes no sense acknowledges nothing
    if (kv.key.size() > names_.member().size())
      looked.members[kv.key.substr(names_.member().size())] = fact.value_or(MemberRecord{});
  }
  if (done.ranges.size() > 1)
    for (const auto& kv : done.ranges[1].key_values)
      if (kv.key.size() > names_.staff_requests().size())
        looked.staff_requests[kv.key.substr(names_.staff_requests().size())] = kv.value;
  beat_ = true;
  look_at_ = now + settings_.inspection_interval;
  draft_shares(looked.members);
  bool busy = !draft_ && !LoadShareCalculator::acknowledged(table_.value_or(LoadShareTable{}), looked.members,
                                                            kLoadShareTask);
  for (Held& held : duties_) {
    held.draft = held.duty->next_draft(looked);
    busy |= held.duty->has_pending_work();
  }
  if (busy) look_at_ = now + std::min(kLookAgain, settings_.inspection_interval);
}

void FleetMember::draft_shares(const std::map<std::string, MemberRecord>& living) {
  const LoadShareTable there = table_.value_or(LoadShareTable{});
  if (!(settings_.disabled_guards & Settings::kAcknowledged) &&
      !LoadShareCalculator::acknowledged(there, living, kLoadShareTask))
    return;
  draft_ = shares_.next_table(there, living);
  if (draft_) draft_->fencing_token = election_.fencing_token();
}

// The duties' states, as the view has them; each once, as most news are of another key.
void FleetMember::see_duties() {
  const std::string session = of_ == store::LeaseId::none ? "" : session_name(of_);
  for (Held& held : duties_) {
    const std::string key = names_.task_state(held.duty->name());
    const auto* state = view_.find(key);
    const store::Revision mod = state ? state->mod_revision : 0;
    if (mod == held.mod && session == held.session) continue;
    if (mod != held.mod) held.draft.reset();  // it was made from another one
    held.mod = mod, held.session = session;
    if (!held.duty->observe(state ? state->value : "", session))
      trouble_ = "the store's record " + key + " can't be read";
  }
}

// The state of the duty, as the view has it. One that can't be read stays as it is: nothing is overwritten.
void FleetMember::see_state() {
  const auto* state = view_.find(names_.task_state(kLoadShareTask));
  const auto before = std::exchange(state_mod_, state ? state->mod_revision : 0);
  see_duties();
  if (!trouble_.empty()) return begin_again();
  if (!state) return table_.reset();
  if (!table_ || state_mod_ != before) {  // most news are of another key
    auto table = decode_load_share_table(state->value);
    if (!table) {
      trouble_ = "the store's record " + names_.task_state(kLoadShareTask) + " can't be read";
      return begin_again();
    }
    table_ = std::move(table);
  }
  // A write that was given up has come after all: what was made from the table before it no longer follows.
  if (draft_ && draft_->epoch != table_->epoch + 1) draft_.reset();
  const auto own = table_->shares.find(session_name(of_));
  if (own == table_->shares.end() || table_->epoch <= epoch_) return;
  granted_ = own->second;
  epoch_ = table_->epoch;
}

// Another incarnation, or none: what was granted to the last one counts no more, but for bounding this one.
void FleetMember::begin_again() {
  of_ = session_.lease();
  if (granted_ > 0) base_ = std::min(granted_, shares_.even_share());
  granted_ = 0, epoch_ = -1;
  for (Held& held : duties_) held.duty->observe("", ""), held.mod = -1;
  if (view_.is_loaded() && trouble_.empty()) see_duties();
  fact_.acknowledged_epochs.clear(), told_.reset(), told_mod_ = 0;
  drop_drafts(), beat_ = false;
  if (of_ != store::LeaseId::none) election_.campaign(of_, fact_.name);
}

// ---- watches

std::optional<store::WatchRequest> FleetMember::desired_watch(WatchSlot slot) const {
  if (leaving_ || !trouble_.empty() || of_ == store::LeaseId::none) return std::nullopt;
  if (slot == WatchSlot::predecessor) return election_.predecessor_watch();
  if (!view_.is_loaded()) return std::nullopt;
  return view_.watch_request();
}

void FleetMember::on_watch_response(WatchSlot slot, const store::WatchResponse& watched) {
  if (watched.canceled || watched.compact_revision > 0) return on_watch_lost(slot);
  for (const auto& event : watched.events) highest_ = std::max(highest_, event.key_value.mod_revision);
  if (slot == WatchSlot::states) {
    view_.on_watch_response(watched);
    return see_state();
  }
  for (const auto& event : watched.events)
    if (event.kind == store::WatchEvent::Kind::removed) election_.on_predecessor_gone();
}

void FleetMember::on_watch_lost(WatchSlot slot) {
  if (slot == WatchSlot::states) view_.invalidate();
  if (slot == WatchSlot::predecessor) election_.on_predecessor_gone();
}

}  // namespace yokestream::coordination
