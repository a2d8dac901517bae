#include "coordination/fleet.h"

#include <algorithm>
#include <cmath>

namespace yokestream::coordination {
namespace {

constexpr Duration kTellEvery = std::chrono::seconds(5);  // of traffic, at most so often
constexpr double kTellFrom = 0.2;                         // and only of a change by so much

}  // namespace

FleetMember::FleetMember(const Settings& settings, const std::string& name, const std::string& version,
                         std::size_t told, Time start, std::vector<LeaderTask*> duties)
    : settings_(settings),
      names_(settings_.key_prefix),
      shares_(told, settings_.disabled_guards),
      heard_(start),
      session_(settings_),
      election_(settings_, names_.candidates(kLoadShareTask), names_.leader_progress(kLoadShareTask)),
      view_(names_.task_states()),
      fact_{name, version, 0, {}, {}} {
  for (LeaderTask* duty : duties) duties_.push_back({duty, -1, {}, {}});
}

// ---- asking

Time FleetMember::due_of(Asker asker) const {
  const bool serving = !leaving_ && known_format_;
  switch (asker) {
    case Asker::session:
      return leaving_ && election_.has_resigned() ? Time::max() : session_.next_due();
    case Asker::format:
      return known_format_ || leaving_ ? Time::max() : again_;
    case Asker::view:
      // Read again now and then: a watch whose connection died without a word stays silent for ever.
      if (!serving) return Time::max();
      return view_.is_loaded() ? std::max(again_, view_at_ + settings_.progress_timeout) : again_;
    case Asker::tell: {
      if (!serving || told_ == fact_) return Time::max();
      const double was = told_ ? told_->requests_per_s : 0;
      if (!told_ || told_->acknowledged_epochs != fact_.acknowledged_epochs) return again_;
      if (told_->tallies != fact_.tallies) return std::max(again_, told_at_ + kTellEvery);
      if (std::abs(fact_.requests_per_s - was) < kTellFrom * std::max(was, 1e-9)) return Time::max();
      return std::max(again_, told_at_ + kTellEvery);
    }
    case Asker::election:
      return serving || leaving_ ? std::max(again_, election_.next_due()) : Time::max();
    case Asker::publish:
      return serving && election_.is_leader() && (drafted() || beat_) && view_.is_loaded() ? again_
                                                                                           : Time::max();
    case Asker::look:
      return serving && election_.is_leader() && view_.is_loaded() ? std::max(again_, look_at_) : Time::max();
    case Asker::revoke:
      return leaving_ && election_.has_resigned() && !lease_over_ ? again_ : Time::max();
    case Asker::nobody:
      break;
  }
  return Time::max();
}

FleetMember::Asker FleetMember::asker(Time now) const {
  for (int i = 0; i < static_cast<int>(Asker::nobody); ++i) {
    const auto asker = static_cast<Asker>(i);
    const bool needs_session = asker != Asker::session;
    if (needs_session && !session_.is_held(now)) break;
    if (due_of(asker) <= now) return asker;
  }
  return Asker::nobody;
}

Time FleetMember::next_due(Time now) const {
  if (out_ != Asker::nobody || !trouble_.empty()) return Time::max();
  Time due = due_of(Asker::session);
  for (int i = 1; i < static_cast<int>(Asker::nobody) && session_.is_held(now); ++i)
    due = std::min(due, due_of(static_cast<Asker>(i)));
  return due;
}

std::optional<store::Request> FleetMember::next_request(Time now) const {
  if (out_ != Asker::nobody || !trouble_.empty()) return std::nullopt;
  const Asker who = asker(now);
  if (who == Asker::nobody) return std::nullopt;
  return request_of(who, now);
}

store::Request FleetMember::request_of(Asker asker, Time now) const {
  using store::Compare;
  using store::Put;
  switch (asker) {
    case Asker::session:
      return *session_.next_request(now);
    case Asker::format:
      return store::Txn{{{Compare::Target::create_revision, names_.format(), 0, {}}},
                        {Put{names_.format(), std::string(kFormat), store::LeaseId::none}},
                        {store::Range{names_.format(), {}, 0}}};
    case Asker::view:
      return view_.load_request();
    case Asker::tell:
      // Over what was seen there last: an older one that comes late, after who sent it gave it up, must not
      // take back what was acknowledged since.
      return store::Txn{{{Compare::Target::mod_revision, names_.member(of_), told_mod_, {}}},
                        {Put{names_.member(of_), encode(fact_), of_}},
                        {store::Range{names_.member(of_), {}, 0}}};
    case Asker::election:
      return *election_.next_request(now);
    case Asker::publish: {  // S1: nothing is written but in this term, and over the state that was seen
      const std::int64_t epoch = draft_ ? draft_->epoch : table_ ? table_->epoch : 0;
      store::Txn txn{{}, {Put{names_.leader_progress(kLoadShareTask), std::to_string(epoch), {}}}, {}};
      if (!(settings_.disabled_guards & Settings::kTerm))
        txn.compares.push_back(election_.leadership_guard());
      for (const Held& held : duties_) {
        if (!held.draft) continue;
        const std::string key = names_.task_state(held.duty->name());
        if (!(settings_.disabled_guards & Settings::kTerm))
          txn.compares.push_back({Compare::Target::mod_revision, key, held.mod, {}});
        txn.on_success.push_back(Put{key, held.draft->state, store::LeaseId::none});
        for (const auto& asked : held.draft->answered_requests)
          txn.on_success.push_back(store::Delete{names_.staff_requests() + asked, {}});
      }
      if (!draft_) return txn;
      if (!(settings_.disabled_guards & Settings::kTerm))
        txn.compares.push_back(
            {Compare::Target::mod_revision, names_.task_state(kLoadShareTask), state_mod_, {}});
      txn.on_success.push_back(Put{names_.task_state(kLoadShareTask), encode(*draft_), store::LeaseId::none});
      return txn;
    }
    case Asker::look:
      return store::Txn{
          {},
          {store::Range{names_.member(), store::prefix_range_end(names_.member()), 0},
           store::Range{names_.staff_requests(), store::prefix_range_end(names_.staff_requests()), 0}},
          {}};
    case Asker::revoke:
    case Asker::nobody:
      break;
  }
  return store::RevokeLease{session_.lease()};
}

void FleetMember::on_request_sent(Time now) {
  out_ = asker(now);
  if (out_ == Asker::session) session_.on_request_sent(now);
  if (out_ == Asker::election) election_.on_request_sent();
  if (out_ == Asker::tell) told_ = fact_;
}

// ---- what this process may count on

FleetMember::LoadGrant FleetMember::load_grant() const {
  const bool expires = !(settings_.disabled_guards & Settings::kExpiry);
  if (granted_ > 0)
    return {granted_, expires ? session_.held_until() : Time::max(), std::min(granted_, shares_.even_share()),
            epoch_};
  if (base_ > 0) return {base_, Time::max(), base_, -1};
  // A newcomer: the one before it may have left a part of its own to the others, and so may this one's last
  // session, until the owner has seen its end and the others act on that.
  return {shares_.min_share(), heard_ + 2 * (settings_.lease_duration + settings_.inspection_interval),
          shares_.even_share(), -1};
}

void FleetMember::acknowledge(std::int64_t epoch) {
  if (epoch >= 0 && epoch == epoch_) fact_.acknowledged_epochs[kLoadShareTask] = epoch;
}

void FleetMember::acknowledge(const LeaderTask& duty, std::int64_t epoch) {
  if (epoch >= 0 && of_ != store::LeaseId::none) fact_.acknowledged_epochs[duty.name()] = epoch;
}

bool FleetMember::drafted() const {
  return draft_ || std::any_of(duties_.begin(), duties_.end(), [](const Held& h) { return h.draft; });
}

void FleetMember::drop_drafts() {
  draft_.reset();
  for (Held& held : duties_) held.draft.reset();
}

void FleetMember::begin_leaving() {
  leaving_ = true;
  election_.resign();
  if (session_.lease() == store::LeaseId::none || !trouble_.empty()) lease_over_ = true;
}

}  // namespace yokestream::coordination
