#include "coordination/election.h"

#include <algorithm>

#include "coordination/names.h"

namespace yokestream::coordination {
void LeaderElection::campaign(store::LeaseId lease, const std::string& name) {
  if (lease == lease_) return;
  lease_ = lease, name_ = name, own_ = line_ + session_name(lease);
  place_ = 0, ahead_.clear(), look_ = unsure_ = leaving_ = false, beat_mod_ = -1;
}

void LeaderElection::resign() { leaving_ = true; }

LeaderElection::Asked LeaderElection::asking() const {
  if (unsure_ || look_) return Asked::read_line;
  if (leaving_) return Asked::leave;
  if (place_ == 0) return Asked::enter;
  if (ahead_.empty()) return Asked::read_line;  // is it the owner still?
  if (!idle()) return Asked::read_beat;
  // Nobody has done anything for too long: who owns the duty now, and is it the one ahead?
  if (line_read_ < beat_since_ + settings_.progress_timeout) return Asked::read_line;
  return ahead_owns_ ? Asked::depose : Asked::read_beat;
}

Time LeaderElection::next_due() const {
  if (out_ || lease_ == store::LeaseId::none || (leaving_ && has_resigned())) return Time::max();
  if (unsure_ || look_ || leaving_ || place_ == 0) return again_;
  if (ahead_.empty()) return std::max(again_, line_read_ + settings_.progress_timeout);
  if (asking() != Asked::read_beat) return again_;
  return std::max(again_, beat_read_ + settings_.progress_timeout / (ahead_owns_ ? 3 : 1));
}

std::optional<store::Request> LeaderElection::next_request(Time now) const {
  if (now < next_due()) return std::nullopt;
  const store::Range line{line_, store::prefix_range_end(line_)};
  switch (asking()) {
    case Asked::enter:
      return store::Txn{{{store::Compare::Target::create_revision, own_, 0, {}}},
                        {store::Put{own_, name_, lease_}, line},
                        {line}};
    case Asked::read_line:
      return line;
    case Asked::leave:
      return store::Txn{{leadership_guard()}, {store::Delete{own_, {}}}, {}};
    case Asked::read_beat:
      return store::Range{beat_, {}};
    case Asked::depose:  // only if it has done nothing since, and is the same owner
      return store::Txn{{{store::Compare::Target::mod_revision, beat_, beat_mod_, {}},
                         {store::Compare::Target::create_revision, ahead_, ahead_create_, {}}},
                        {store::Delete{ahead_, {}}},
                        {}};
  }
  return std::nullopt;
}

void LeaderElection::on_reply(Time now, const store::Reply& reply) {
  const Asked what = asking();
  out_ = false;
  const auto* done = std::get_if<store::Completed>(&reply);
  if (!done) {
    again_ = now + kRetryPause;
    // Unknown: it may be in line, or out of it, or the one ahead may be. What is true stands in the store.
    if (std::holds_alternative<store::OutcomeUnknown>(reply)) unsure_ = true;
    return;
  }
  again_ = Time::min();
  if (what == Asked::enter || what == Asked::read_line) return read_line(now, *done);
  if (what == Asked::read_beat) return read_beat(now, *done);
  if (what == Asked::leave) place_ = 0, ahead_.clear();
  if (what == Asked::depose) look_ = true, beat_since_ = now;
}

// The line in order of create revision, as of one revision of the store.
void LeaderElection::read_line(Time now, const store::Completed& done) {
  look_ = unsure_ = false;
  line_read_ = now;
  place_ = 0, ahead_.clear(), ahead_create_ = 0, seen_ = done.revision;
  if (done.ranges.empty()) return;
  const auto& line = done.ranges.back().key_values;
  const auto own = std::find_if(line.begin(), line.end(), [&](const auto& kv) { return kv.key == own_; });
  if (own == line.end()) return;
  place_ = own->create_revision;
  store::Revision first = place_;
  for (const auto& kv : line) {
    first = std::min(first, kv.create_revision);
    if (kv.create_revision < place_ && kv.create_revision > ahead_create_)
      ahead_ = kv.key, ahead_create_ = kv.create_revision;
  }
  ahead_owns_ = !ahead_.empty() && first == ahead_create_;
}

// Counted on this clock from when the owner's last sign was first seen.
void LeaderElection::read_beat(Time now, const store::Completed& done) {
  const auto& ranges = done.ranges;
  const store::Revision mod =
      ranges.empty() || ranges.back().key_values.empty() ? 0 : ranges.back().key_values.front().mod_revision;
  if (mod != beat_mod_) beat_mod_ = mod, beat_since_ = now;
  beat_read_ = now;
}

std::string LeaderElection::digest() const {
  std::string out = own_ + '|' + ahead_;
  for (const auto n : {place_, ahead_create_, beat_mod_}) out += '|' + std::to_string(n);
  for (const bool b : {out_, look_, unsure_, leaving_, ahead_owns_, idle()}) out += b ? '1' : '0';
  return out;
}

std::optional<store::WatchRequest> LeaderElection::predecessor_watch() const {
  if (place_ == 0 || ahead_.empty() || look_ || leaving_) return std::nullopt;
  return store::WatchRequest{ahead_, {}, seen_ + 1};
}

}  // namespace yokestream::coordination
