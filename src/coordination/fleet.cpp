#include "coordination/fleet.h"

#include <algorithm>
#include <cmath>

namespace yokestream::coordination {
namespace {

constexpr Duration kTellEvery = std::chrono::seconds(5);  // of traffic, at most so often
constexpr double kTellFrom = 0.2;                         // and only of a change by so much

}  // namespace

Fleet::Fleet(const Settings& settings, const std::string& name, const std::string& version, std::size_t told,
             Time start, std::vector<Duty*> duties)
    : settings_(settings),
      names_(settings_.prefix),
      shares_(told, settings_.without),
      heard_(start),
      session_(settings_),
      election_(settings_, names_.line(kDuty), names_.beat(kDuty)),
      view_(names_.states()),
      fact_{name, version, 0, {}, {}} {
  for (Duty* duty : duties) duties_.push_back({duty, -1, {}, {}});
}

// ---- asking

Time Fleet::due_of(Asker asker) const {
  const bool serving = !leaving_ && known_format_;
  switch (asker) {
    case Asker::session:
      return leaving_ && election_.out_of_line() ? Time::max() : session_.due();
    case Asker::format:
      return known_format_ || leaving_ ? Time::max() : again_;
    case Asker::view:
      // Read again now and then: a watch whose connection died without a word stays silent for ever.
      if (!serving) return Time::max();
      return view_.known() ? std::max(again_, view_at_ + settings_.progress) : again_;
    case Asker::tell: {
      if (!serving || told_ == fact_) return Time::max();
      const double was = told_ ? told_->traffic : 0;
      if (!told_ || told_->seen != fact_.seen) return again_;
      if (told_->tallies != fact_.tallies) return std::max(again_, told_at_ + kTellEvery);
      if (std::abs(fact_.traffic - was) < kTellFrom * std::max(was, 1e-9)) return Time::max();
      return std::max(again_, told_at_ + kTellEvery);
    }
    case Asker::election:
      return serving || leaving_ ? std::max(again_, election_.due()) : Time::max();
    case Asker::publish:
      return serving && election_.owner() && (drafted() || beat_) && view_.known() ? again_ : Time::max();
    case Asker::look:
      return serving && election_.owner() && view_.known() ? std::max(again_, look_at_) : Time::max();
    case Asker::revoke:
      return leaving_ && election_.out_of_line() && !lease_over_ ? again_ : Time::max();
    case Asker::nobody:
      break;
  }
  return Time::max();
}

Fleet::Asker Fleet::asker(Time now) const {
  for (int i = 0; i < static_cast<int>(Asker::nobody); ++i) {
    const auto asker = static_cast<Asker>(i);
    const bool needs_session = asker != Asker::session;
    if (needs_session && !session_.held(now)) break;
    if (due_of(asker) <= now) return asker;
  }
  return Asker::nobody;
}

Time Fleet::due(Time now) const {
  if (out_ != Asker::nobody || !trouble_.empty()) return Time::max();
  Time due = due_of(Asker::session);
  for (int i = 1; i < static_cast<int>(Asker::nobody) && session_.held(now); ++i)
    due = std::min(due, due_of(static_cast<Asker>(i)));
  return due;
}

std::optional<store::Request> Fleet::next(Time now) const {
  if (out_ != Asker::nobody || !trouble_.empty()) return std::nullopt;
  const Asker who = asker(now);
  if (who == Asker::nobody) return std::nullopt;
  return request_of(who, now);
}

store::Request Fleet::request_of(Asker asker, Time now) const {
  using store::Compare;
  using store::Put;
  switch (asker) {
    case Asker::session:
      return *session_.next(now);
    case Asker::format:
      return store::Txn{{{Compare::What::create, names_.format(), 0, {}}},
                        {Put{names_.format(), std::string(kFormat), store::LeaseId::none}},
                        {store::Range{names_.format(), {}, 0}}};
    case Asker::view:
      return view_.read();
    case Asker::tell:
      // Over what was seen there last: an older one that comes late, after who sent it gave it up, must not
      // take back what was acknowledged since.
      return store::Txn{{{Compare::What::mod, names_.alive(of_), told_mod_, {}}},
                        {Put{names_.alive(of_), encode(fact_), of_}},
                        {store::Range{names_.alive(of_), {}, 0}}};
    case Asker::election:
      return *election_.next(now);
    case Asker::publish: {  // S1: nothing is written but in this term, and over the state that was seen
      const std::int64_t epoch = draft_ ? draft_->epoch : table_ ? table_->epoch : 0;
      store::Txn txn{{}, {Put{names_.beat(kDuty), std::to_string(epoch), {}}}, {}};
      if (!(settings_.without & Settings::kTerm)) txn.when.push_back(election_.guard());
      for (const Held& held : duties_) {
        if (!held.draft) continue;
        const std::string key = names_.state(held.duty->name());
        if (!(settings_.without & Settings::kTerm))
          txn.when.push_back({Compare::What::mod, key, held.mod, {}});
        txn.then.push_back(Put{key, held.draft->state, store::LeaseId::none});
        for (const auto& asked : held.draft->answered)
          txn.then.push_back(store::Delete{names_.asks() + asked, {}});
      }
      if (!draft_) return txn;
      if (!(settings_.without & Settings::kTerm))
        txn.when.push_back({Compare::What::mod, names_.state(kDuty), state_mod_, {}});
      txn.then.push_back(Put{names_.state(kDuty), encode(*draft_), store::LeaseId::none});
      return txn;
    }
    case Asker::look:
      return store::Txn{{},
                        {store::Range{names_.alive(), store::after_prefix(names_.alive()), 0},
                         store::Range{names_.asks(), store::after_prefix(names_.asks()), 0}},
                        {}};
    case Asker::revoke:
    case Asker::nobody:
      break;
  }
  return store::Revoke{session_.lease()};
}

void Fleet::asked(Time now) {
  out_ = asker(now);
  if (out_ == Asker::session) session_.asked(now);
  if (out_ == Asker::election) election_.asked();
  if (out_ == Asker::tell) told_ = fact_;
}

// ---- what this process may count on

Fleet::Allowed Fleet::allowed() const {
  const bool expires = !(settings_.without & Settings::kExpiry);
  if (granted_ > 0)
    return {granted_, expires ? session_.until() : Time::max(), std::min(granted_, shares_.even()), epoch_};
  if (base_ > 0) return {base_, Time::max(), base_, -1};
  // A newcomer: the one before it may have left a part of its own to the others, and so may this one's last
  // session, until the owner has seen its end and the others act on that.
  return {shares_.least(), heard_ + 2 * (settings_.lease + settings_.look), shares_.even(), -1};
}

void Fleet::applied(std::int64_t epoch) {
  if (epoch >= 0 && epoch == epoch_) fact_.seen[kDuty] = epoch;
}

void Fleet::applied(const Duty& duty, std::int64_t epoch) {
  if (epoch >= 0 && of_ != store::LeaseId::none) fact_.seen[duty.name()] = epoch;
}

bool Fleet::drafted() const {
  return draft_ || std::any_of(duties_.begin(), duties_.end(), [](const Held& h) { return h.draft; });
}

void Fleet::drop_drafts() {
  draft_.reset();
  for (Held& held : duties_) held.draft.reset();
}

void Fleet::leave() {
  leaving_ = true;
  election_.step_down();
  if (session_.lease() == store::LeaseId::none || !trouble_.empty()) lease_over_ = true;
}

}  // namespace yokestream::coordination
