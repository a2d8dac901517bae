// What comes back from the store, and what follows from it.
#include <algorithm>
#include <utility>

#include "coordination/fleet.h"

namespace yokestream::coordination {
namespace {

constexpr Duration kLookAgain = std::chrono::milliseconds(1000);  // while acknowledgements are missing

}  // namespace

void Fleet::replied(Time now, const store::Reply& reply) {
  const auto* done = std::get_if<store::Done>(&reply);
  // A store that was set back knows less than was decided upon: terms and epochs would come again.
  if (done && out_ != Asker::session && out_ != Asker::revoke) {
    if (done->revision < highest_) trouble_ = "the store was set back to an older state";
    highest_ = std::max(highest_, done->revision);
  }
  if (!trouble_.empty()) return begin_again();
  if (out_ == Asker::session) {
    session_.replied(now, reply);
    heard_ = std::max(heard_, session_.until());
    if (session_.lease() != of_) begin_again();
  } else if (out_ == Asker::election) {
    election_.replied(now, reply);
    if (election_.owner()) look_at_ = std::min(look_at_, now);
    if (election_.term() != drafted_in_) drop_drafts();  // they were this owner's in another term
    drafted_in_ = election_.term();
  } else if (done) {
    take(now, *done);
  } else {
    missed(now, std::holds_alternative<store::Unknown>(reply));
  }
  out_ = Asker::nobody;
}

void Fleet::take(Time now, const store::Done& done) {
  again_ = Time::min();
  const bool refused = !done.succeeded;
  if (out_ == Asker::format) {
    const auto* found =
        refused && !done.ranges.empty() && !done.ranges[0].all.empty() ? &done.ranges[0].all[0] : nullptr;
    known_format_ = !refused || (found && found->value == kFormat);
    if (!known_format_) trouble_ = "the store holds another form under " + names_.root;
  } else if (out_ == Asker::view) {
    view_.took(done);
    view_at_ = now;
    see_state();
  } else if (out_ == Asker::tell) {
    told(now, done);
  } else if (out_ == Asker::publish) {
    drop_drafts(), beat_ = false;
    view_.lost();  // what stands there now is read, not presumed
    if (refused) election_.lost();
  } else if (out_ == Asker::look) {
    looked(now, done);
  } else if (out_ == Asker::revoke) {
    lease_over_ = true;
  }
}

// A call that may have counted is settled by reading: of what this process wrote only the owner's table is
// not its own alone.
void Fleet::missed(Time now, bool unknown) {
  again_ = now + kAgain;
  if (out_ == Asker::tell) told_.reset();
  if (out_ == Asker::publish && unknown) drop_drafts(), view_.lost();
  if (out_ == Asker::revoke) lease_over_ = true;  // it ends by itself
}

// Refused: one that was given up has come after all. The next goes over that one.
void Fleet::told(Time now, const store::Done& done) {
  told_at_ = now;
  if (done.succeeded) {
    told_mod_ = done.revision;
    return;
  }
  const bool there = !done.ranges.empty() && !done.ranges[0].all.empty();
  told_mod_ = there ? done.ranges[0].all[0].mod : 0;
  told_.reset();
}

void Fleet::looked(Time now, const store::Done& done) {
  if (done.ranges.empty()) return;
  Looked looked{now, {}, {}, election_.term()};
  for (const auto& kv : done.ranges.front().all) {
    const auto fact = decode_fact(kv.value);  // one that makes no sense acknowledges nothing
    if (kv.key.size() > names_.alive().size())
      looked.living[kv.key.substr(names_.alive().size())] = fact.value_or(Fact{});
  }
  if (done.ranges.size() > 1)
    for (const auto& kv : done.ranges[1].all)
      if (kv.key.size() > names_.asks().size()) looked.asked[kv.key.substr(names_.asks().size())] = kv.value;
  beat_ = true;
  look_at_ = now + settings_.look;
  draft_shares(looked.living);
  bool busy = !draft_ && !Shares::acknowledged(table_.value_or(Table{}), looked.living, kDuty);
  for (Held& held : duties_) {
    held.draft = held.duty->next(looked);
    busy |= held.duty->busy();
  }
  if (busy) look_at_ = now + std::min(kLookAgain, settings_.look);
}

void Fleet::draft_shares(const std::map<std::string, Fact>& living) {
  const Table there = table_.value_or(Table{});
  if (!(settings_.without & Settings::kAcknowledged) && !Shares::acknowledged(there, living, kDuty)) return;
  draft_ = shares_.next(there, living);
  if (draft_) draft_->term = election_.term();
}

// The duties' states, as the view has them; each once, as most news are of another key.
void Fleet::see_duties() {
  const std::string session = of_ == store::LeaseId::none ? "" : session_name(of_);
  for (Held& held : duties_) {
    const std::string key = names_.state(held.duty->name());
    const auto* state = view_.find(key);
    const store::Revision mod = state ? state->mod : 0;
    if (mod == held.mod && session == held.session) continue;
    if (mod != held.mod) held.draft.reset();  // it was made from another one
    held.mod = mod, held.session = session;
    if (!held.duty->see(state ? state->value : "", session))
      trouble_ = "the store's record " + key + " can't be read";
  }
}

// The state of the duty, as the view has it. One that can't be read stays as it is: nothing is overwritten.
void Fleet::see_state() {
  const auto* state = view_.find(names_.state(kDuty));
  const auto before = std::exchange(state_mod_, state ? state->mod : 0);
  see_duties();
  if (!trouble_.empty()) return begin_again();
  if (!state) return table_.reset();
  if (!table_ || state_mod_ != before) {  // most news are of another key
    auto table = decode_table(state->value);
    if (!table) {
      trouble_ = "the store's record " + names_.state(kDuty) + " can't be read";
      return begin_again();
    }
    table_ = std::move(table);
  }
  // A write that was given up has come after all: what was made from the table before it no longer follows.
  if (draft_ && draft_->epoch != table_->epoch + 1) draft_.reset();
  const auto own = table_->parts.find(session_name(of_));
  if (own == table_->parts.end() || table_->epoch <= epoch_) return;
  granted_ = own->second;
  epoch_ = table_->epoch;
}

// Another incarnation, or none: what was granted to the last one counts no more, but for bounding this one.
void Fleet::begin_again() {
  of_ = session_.lease();
  if (granted_ > 0) base_ = std::min(granted_, shares_.even());
  granted_ = 0, epoch_ = -1;
  for (Held& held : duties_) held.duty->see("", ""), held.mod = -1;
  if (view_.known() && trouble_.empty()) see_duties();
  fact_.seen.clear(), told_.reset(), told_mod_ = 0;
  drop_drafts(), beat_ = false;
  if (of_ != store::LeaseId::none) election_.stand(of_, fact_.name);
}

// ---- watches

std::optional<store::Watch> Fleet::wanted(Slot slot) const {
  if (leaving_ || !trouble_.empty() || of_ == store::LeaseId::none) return std::nullopt;
  if (slot == Slot::ahead) return election_.ahead();
  if (!view_.known()) return std::nullopt;
  return view_.watch();
}

void Fleet::heard(Slot slot, const store::Watched& watched) {
  if (watched.canceled || watched.compacted > 0) return cut(slot);
  for (const auto& event : watched.events) highest_ = std::max(highest_, event.now.mod);
  if (slot == Slot::states) {
    view_.heard(watched);
    return see_state();
  }
  for (const auto& event : watched.events)
    if (event.kind == store::WatchEvent::Kind::removed) election_.ahead_gone();
}

void Fleet::cut(Slot slot) {
  if (slot == Slot::states) view_.lost();
  if (slot == Slot::ahead) election_.ahead_gone();
}

}  // namespace yokestream::coordination
