#include "coordination/fleet_member.h"

#include <algorithm>
#include <cmath>

namespace yokestream::coordination {
namespace {

// Changes of traffic and tallies are published at most this often; acknowledged epochs immediately.
constexpr Duration kMinPublishInterval = std::chrono::seconds(5);
constexpr double kMinRelativeTrafficChange = 0.2;  // ratio; smaller changes are not published
constexpr double kMinTrafficBaseline = 1e-9;       // requests per second; any traffic after none is a change

}  // namespace

FleetMember::FleetMember(const Settings& settings, const std::string& name, const std::string& version,
                         std::size_t reported_manager_count, Time start, std::vector<LeaderTask*> tasks)
    : settings_(settings),
      keys_(settings_.key_prefix),
      share_calculator_(reported_manager_count, settings_.disabled_guards),
      last_held_until_(start),
      session_(settings_),
      election_(settings_, keys_.candidates(kLoadShareTask), keys_.leader_progress(kLoadShareTask)),
      view_(keys_.task_states()),
      own_record_{name, version, 0, {}, {}} {
  for (LeaderTask* task : tasks) tasks_.push_back({task, -1, {}, {}});
}

// ---- requests

Time FleetMember::due_at(RequestSource source) const {
  const bool serving = !leaving_ && format_known_;
  const bool resigned = leaving_ && election_.has_resigned();
  const bool leads = serving && election_.is_leader() && view_.is_loaded();
  switch (source) {
    case RequestSource::session:
      return resigned ? Time::max() : session_.next_due();
    case RequestSource::format:
      return format_known_ || leaving_ ? Time::max() : retry_at_;
    case RequestSource::view:
      return serving ? view_due_at() : Time::max();
    case RequestSource::publish_record:
      return serving ? record_due_at() : Time::max();
    case RequestSource::election:
      return serving || leaving_ ? std::max(retry_at_, election_.next_due()) : Time::max();
    case RequestSource::publish_state:
      return leads && (has_drafts() || progress_due_) ? retry_at_ : Time::max();
    case RequestSource::inspect:
      return leads ? std::max(retry_at_, inspect_at_) : Time::max();
    case RequestSource::revoke_lease:
      return resigned && !lease_ended_ ? retry_at_ : Time::max();
    case RequestSource::none:
      break;
  }
  return Time::max();
}

// Failure: the connection of a watch is lost without being closed.
// Symptom: the watch delivers neither events nor an error.
// Guard: the view is reloaded every Settings::progress_timeout.
Time FleetMember::view_due_at() const {
  return view_.is_loaded() ? std::max(retry_at_, view_loaded_at_ + settings_.progress_timeout) : retry_at_;
}

Time FleetMember::record_due_at() const {
  if (published_record_ == own_record_) return Time::max();
  if (!published_record_) return retry_at_;
  if (published_record_->acknowledged_epochs != own_record_.acknowledged_epochs) return retry_at_;
  if (published_record_->tallies != own_record_.tallies)
    return std::max(retry_at_, published_at_ + kMinPublishInterval);
  const double published = published_record_->requests_per_s;
  const double change = std::abs(own_record_.requests_per_s - published);
  if (change < kMinRelativeTrafficChange * std::max(published, kMinTrafficBaseline)) return Time::max();
  return std::max(retry_at_, published_at_ + kMinPublishInterval);
}

FleetMember::RequestSource FleetMember::next_source(Time now) const {
  for (int i = 0; i < static_cast<int>(RequestSource::none); ++i) {
    const auto source = static_cast<RequestSource>(i);
    const bool needs_session = source != RequestSource::session;
    if (needs_session && !session_.is_held(now)) break;
    if (due_at(source) <= now) return source;
  }
  return RequestSource::none;
}

Time FleetMember::next_due(Time now) const {
  if (in_flight_ != RequestSource::none || !fault_.empty()) return Time::max();
  Time due = due_at(RequestSource::session);
  for (int i = 1; i < static_cast<int>(RequestSource::none) && session_.is_held(now); ++i)
    due = std::min(due, due_at(static_cast<RequestSource>(i)));
  return due;
}

std::optional<store::Request> FleetMember::next_request(Time now) const {
  if (in_flight_ != RequestSource::none || !fault_.empty()) return std::nullopt;
  const RequestSource source = next_source(now);
  if (source == RequestSource::none) return std::nullopt;
  return build_request(source, now);
}

store::Request FleetMember::build_request(RequestSource source, Time now) const {
  using store::Compare;
  using store::Put;
  switch (source) {
    case RequestSource::session:
      return *session_.next_request(now);
    case RequestSource::format:
      return store::Txn{{{Compare::Target::create_revision, keys_.format(), 0, {}}},
                        {Put{keys_.format(), std::string(kFormat), store::LeaseId::none}},
                        {store::Range{keys_.format(), {}, 0}}};
    case RequestSource::view:
      return view_.load_request();
    case RequestSource::publish_record:
      // Failure: a write of an older record is applied late, after its call has timed out.
      // Symptom: it withdraws an epoch that has been acknowledged since.
      // Guard: the write requires the mod revision that was seen last.
      return store::Txn{
          {{Compare::Target::mod_revision, keys_.member(incarnation_), published_revision_, {}}},
          {Put{keys_.member(incarnation_), encode(own_record_), incarnation_}},
          {store::Range{keys_.member(incarnation_), {}, 0}}};
    case RequestSource::election:
      return *election_.next_request(now);
    case RequestSource::publish_state:
      return build_state_write();
    case RequestSource::inspect:
      return store::Txn{
          {},
          {store::Range{keys_.member(), store::prefix_range_end(keys_.member()), 0},
           store::Range{keys_.operator_requests(), store::prefix_range_end(keys_.operator_requests()), 0}},
          {}};
    case RequestSource::revoke_lease:
    case RequestSource::none:
      break;
  }
  return store::RevokeLease{session_.lease()};
}

// S1: the write requires that this fencing token still leads and that no state has changed since it was read.
store::Txn FleetMember::build_state_write() const {
  using store::Compare;
  using store::Put;
  const bool fenced = !(settings_.disabled_guards & Settings::kFencing);
  const std::int64_t table_epoch = table_ ? table_->epoch : 0;
  const std::int64_t epoch = table_draft_ ? table_draft_->epoch : table_epoch;
  store::Txn txn{{}, {Put{keys_.leader_progress(kLoadShareTask), std::to_string(epoch), {}}}, {}};
  if (fenced) txn.compares.push_back(election_.leadership_guard());
  for (const TrackedTask& tracked : tasks_) {
    if (!tracked.draft) continue;
    const std::string key = keys_.task_state(tracked.task->name());
    if (fenced) txn.compares.push_back({Compare::Target::mod_revision, key, tracked.revision, {}});
    txn.on_success.push_back(Put{key, tracked.draft->state, store::LeaseId::none});
    for (const auto& request_name : tracked.draft->answered_requests)
      txn.on_success.push_back(store::Delete{keys_.operator_requests() + request_name, {}});
  }
  if (!table_draft_) return txn;
  const std::string key = keys_.task_state(kLoadShareTask);
  if (fenced) txn.compares.push_back({Compare::Target::mod_revision, key, table_revision_, {}});
  txn.on_success.push_back(Put{key, encode(*table_draft_), store::LeaseId::none});
  return txn;
}

void FleetMember::on_request_sent(Time now) {
  in_flight_ = next_source(now);
  if (in_flight_ == RequestSource::session) session_.on_request_sent(now);
  if (in_flight_ == RequestSource::election) election_.on_request_sent();
  if (in_flight_ == RequestSource::publish_record) published_record_ = own_record_;
}

// ---- the granted share

FleetMember::LoadGrant FleetMember::load_grant() const {
  const bool expires = !(settings_.disabled_guards & Settings::kLeaseExpiry);
  if (granted_share_ > 0)
    return {granted_share_, expires ? session_.held_until() : Time::max(),
            std::min(granted_share_, share_calculator_.even_share()), granted_epoch_};
  if (fallback_share_ > 0) return {fallback_share_, Time::max(), fallback_share_, -1};
  // No grant yet. The session that this process replaces may have released part of its share to others. So
  // the process starts with the minimum share and gets its even share only after the leader has had time to
  // notice the end of that session and the others to apply the next table.
  return {share_calculator_.min_share(),
          last_held_until_ + 2 * (settings_.lease_duration + settings_.inspection_interval),
          share_calculator_.even_share(), -1};
}

void FleetMember::acknowledge(std::int64_t epoch) {
  if (epoch >= 0 && epoch == granted_epoch_) own_record_.acknowledged_epochs[kLoadShareTask] = epoch;
}

void FleetMember::acknowledge(const LeaderTask& task, std::int64_t epoch) {
  if (epoch >= 0 && incarnation_ != store::LeaseId::none)
    own_record_.acknowledged_epochs[task.name()] = epoch;
}

bool FleetMember::has_drafts() const {
  return table_draft_ || std::any_of(tasks_.begin(), tasks_.end(),
                                     [](const TrackedTask& tracked) { return tracked.draft.has_value(); });
}

void FleetMember::drop_drafts() {
  table_draft_.reset();
  for (TrackedTask& tracked : tasks_) tracked.draft.reset();
}

void FleetMember::begin_leaving() {
  leaving_ = true;
  election_.resign();
  if (session_.lease() == store::LeaseId::none || !fault_.empty()) lease_ended_ = true;
}

}  // namespace yokestream::coordination
