#include "coordination/leader_election.h"

#include <algorithm>

#include "coordination/store_keys.h"

namespace yokestream::coordination {
namespace {

constexpr int kProgressReadsPerTimeout = 3;  // by the candidate right behind the leader; the others read once

}  // namespace

void LeaderElection::campaign(store::LeaseId lease, const std::string& name) {
  if (lease == lease_) return;
  lease_ = lease;
  name_ = name;
  own_key_ = candidates_prefix_ + session_name(lease);
  forget_candidacy();
  needs_reread_ = false;
  outcome_unknown_ = false;
  resigning_ = false;
  progress_revision_ = -1;
}

void LeaderElection::forget_candidacy() {
  candidate_revision_ = 0;
  predecessor_key_.clear();
}

void LeaderElection::resign() { resigning_ = true; }

LeaderElection::Step LeaderElection::next_step() const {
  if (outcome_unknown_ || needs_reread_) return Step::read_candidates;
  if (resigning_) return Step::withdraw;
  if (candidate_revision_ == 0) return Step::join;
  if (predecessor_key_.empty()) return Step::read_candidates;  // to confirm that this one still leads
  if (!progress_timed_out()) return Step::read_progress;
  // The leader has made no progress for the timeout: reads whether the predecessor is still the leader.
  if (candidates_read_at_ < progress_since_ + settings_.progress_timeout) return Step::read_candidates;
  return predecessor_is_leader_ ? Step::remove_leader : Step::read_progress;
}

Time LeaderElection::next_due() const {
  if (in_flight_ || lease_ == store::LeaseId::none || (resigning_ && has_resigned())) return Time::max();
  if (outcome_unknown_ || needs_reread_ || resigning_ || candidate_revision_ == 0) return retry_at_;
  if (predecessor_key_.empty()) return std::max(retry_at_, candidates_read_at_ + settings_.progress_timeout);
  if (next_step() != Step::read_progress) return retry_at_;
  const int reads_per_timeout = predecessor_is_leader_ ? kProgressReadsPerTimeout : 1;
  return std::max(retry_at_, progress_read_at_ + settings_.progress_timeout / reads_per_timeout);
}

std::optional<store::Request> LeaderElection::next_request(Time now) const {
  if (now < next_due()) return std::nullopt;
  const store::Range candidates{candidates_prefix_, store::prefix_range_end(candidates_prefix_)};
  switch (next_step()) {
    case Step::join:
      return store::Txn{{{store::Compare::Target::create_revision, own_key_, 0, {}}},
                        {store::Put{own_key_, name_, lease_}, candidates},
                        {candidates}};
    case Step::read_candidates:
      return candidates;
    case Step::withdraw:
      return store::Txn{{leadership_guard()}, {store::Delete{own_key_, {}}}, {}};
    case Step::read_progress:
      return store::Range{progress_key_, {}};
    case Step::remove_leader:  // only if the leader is the same and has made no progress since
      return store::Txn{
          {{store::Compare::Target::mod_revision, progress_key_, progress_revision_, {}},
           {store::Compare::Target::create_revision, predecessor_key_, predecessor_revision_, {}}},
          {store::Delete{predecessor_key_, {}}},
          {}};
  }
  return std::nullopt;
}

void LeaderElection::on_reply(Time now, const store::Reply& reply) {
  const Step step = next_step();
  in_flight_ = false;
  const auto* completed = std::get_if<store::Completed>(&reply);
  if (!completed) {
    retry_at_ = now + kRetryPause;
    // The write may have been applied, so the candidates are read before the next step.
    if (std::holds_alternative<store::OutcomeUnknown>(reply)) outcome_unknown_ = true;
    return;
  }
  retry_at_ = Time::min();
  if (step == Step::join || step == Step::read_candidates) return on_candidates_read(now, *completed);
  if (step == Step::read_progress) return on_progress_read(now, *completed);
  if (step == Step::withdraw) forget_candidacy();
  if (step == Step::remove_leader) {
    needs_reread_ = true;
    progress_since_ = now;
  }
}

// Finds this process's candidacy and its predecessor by create revision, from one consistent read.
void LeaderElection::on_candidates_read(Time now, const store::Completed& completed) {
  needs_reread_ = false;
  outcome_unknown_ = false;
  candidates_read_at_ = now;
  forget_candidacy();
  predecessor_revision_ = 0;
  observed_revision_ = completed.revision;
  if (completed.ranges.empty()) return;
  const auto& candidates = completed.ranges.back().key_values;
  const auto own =
      std::find_if(candidates.begin(), candidates.end(), [&](const auto& kv) { return kv.key == own_key_; });
  if (own == candidates.end()) return;
  candidate_revision_ = own->create_revision;
  store::Revision first = candidate_revision_;
  for (const auto& kv : candidates) {
    first = std::min(first, kv.create_revision);
    if (kv.create_revision < candidate_revision_ && kv.create_revision > predecessor_revision_) {
      predecessor_key_ = kv.key;
      predecessor_revision_ = kv.create_revision;
    }
  }
  predecessor_is_leader_ = !predecessor_key_.empty() && first == predecessor_revision_;
}

// The progress timeout is measured by the local clock, from when this revision was first read.
void LeaderElection::on_progress_read(Time now, const store::Completed& completed) {
  const auto& ranges = completed.ranges;
  const store::Revision revision =
      ranges.empty() || ranges.back().key_values.empty() ? 0 : ranges.back().key_values.front().mod_revision;
  if (revision != progress_revision_) {
    progress_revision_ = revision;
    progress_since_ = now;
  }
  progress_read_at_ = now;
}

std::string LeaderElection::digest() const {
  std::string out = own_key_ + '|' + predecessor_key_;
  for (const auto number : {candidate_revision_, predecessor_revision_, progress_revision_})
    out += '|' + std::to_string(number);
  for (const bool flag : {in_flight_, needs_reread_, outcome_unknown_, resigning_, predecessor_is_leader_,
                          progress_timed_out()})
    out += flag ? '1' : '0';
  return out;
}

std::optional<store::WatchRequest> LeaderElection::predecessor_watch() const {
  if (candidate_revision_ == 0 || predecessor_key_.empty() || needs_reread_ || resigning_)
    return std::nullopt;
  return store::WatchRequest{predecessor_key_, {}, observed_revision_ + 1};
}

}  // namespace yokestream::coordination
