#include "standin/edge.h"

#include <algorithm>

namespace yokestream::standin {
namespace {

config::Member engine(const char* uid, const char* zone) {
  config::Member member;
  member.uid = std::string(uid);
  member.zone = std::string(zone);
  return member;
}

}  // namespace

void MoveChecker::plan(const migration::Plan& plan) {
  for (const auto& move : plan.moves)
    for (const auto area : move.after) after_[move.area].insert(area), before_[area].insert(move.area);
}

std::string MoveChecker::begins(Time now, TableGroupId area, bool taken, bool load, Time until,
                                const std::string& who) {
  const auto out = [&](TableGroupId of, auto&& which) -> const Out* {
    auto& all = out_[of];
    std::erase_if(all, [&](const Out& o) { return o.until <= now; });
    const auto it = std::find_if(all.begin(), all.end(), which);
    return it == all.end() ? nullptr : &*it;
  };
  const auto name = [](TableGroupId a) { return std::to_string(static_cast<std::uint64_t>(a)); };
  if (load)
    if (const auto* other = out(area, [&](const Out& o) { return o.load && o.taken != taken; }))
      return "S6: a load of area " + name(area) + " by " + who + " while one of " + other->who +
             " is out on the other side";
  for (const auto needed : taken ? after_[area] : std::set<TableGroupId>{})
    if (out(needed, [](const Out& o) { return !o.taken; }))
      return "S6: area " + name(area) + " at its new origin by " + who + " while " + name(needed) +
             ", which it waits for, is at its old one";
  for (const auto waiting : taken ? std::set<TableGroupId>{} : before_[area])
    if (out(waiting, [](const Out& o) { return o.taken; }))
      return "S6: area " + name(area) + " at its old origin by " + who + " while " + name(waiting) +
             ", which waits for it, is at its new one";
  out_[area].push_back({taken, load, until, who});
  return "";
}

Edge::Edge(const EdgeSettings& settings, std::string name) : settings_(settings), name_(std::move(name)) {
  std::vector<TableGroupId> movable;
  for (std::size_t a = 1; a <= settings.areas; ++a) movable.push_back(TableGroupId{a});
  routes_.set_movable_areas(movable);
  routes_.register_engine(engine("old", "a"));
  routes_.register_engine(engine("new", "b"));
}

bool Edge::behind(const migration::MigrationTask& mover, Time until) const {
  const auto& table = mover.routing_table();
  return granted_ != table.has_value() || until_ != until || (table && table->epoch != routes_.epoch());
}

void Edge::take(const migration::MigrationTask& mover, Time until, Time now, EdgeFigures& figures) {
  const auto& table = mover.routing_table();
  if (!table) closed_since_.clear();  // closed for want of a grant: that is counted as refused
  for (const auto& [area, rule] : table ? table->rules : std::map<TableGroupId, routing::Rule>{}) {
    if (rule.loads == routing::Rule::Loads::nowhere)
      closed_since_.emplace(area, now);
    else if (const auto since = closed_since_.extract(area); !since.empty())
      figures.closed.push_back(now - since.mapped());
  }
  granted_ = table.has_value();
  until_ = until;
  if (table && table->epoch != routes_.epoch()) routes_.install(*table);
  routes_.extend_lease(granted_ ? coordination::with_lease_margin(until) : Time::min());
}

// An area that no plan has touched yet goes to its old side here: what is anywhere can't be held to a side.
std::string Edge::send(Time now, Time local, std::mt19937_64& random, MoveChecker& checker,
                       EdgeFigures& figures) {
  const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  const TableGroupId area{1 + random() % settings_.areas};
  const bool load = draw() < settings_.loads;
  const std::string id = name_ + "/" + std::to_string(++asked_);
  const auto route = routes_.route(local, area, !load, id);
  if (route.closed) {
    ++figures.refused;
    return "";
  }
  const bool taken = route.allowed_engines && (*route.allowed_engines)[routes_.slot_of("new")];
  const Time until = now + std::chrono::duration_cast<Duration>(settings_.longest * draw());
  ++figures.sent;
  out_.push_back({area, taken, load, id, until});
  if (!load) {
    auto& tally = taken ? tallies_[area].second : tallies_[area].first;
    ++tally.total, tally.served += !taken || draw() >= settings_.bad;
  }
  return checker.begins(now, area, taken, load, until, name_);
}

std::int64_t Edge::acted(Time now) {
  std::erase_if(out_, [&](const Out& out) { return out.until <= now; });
  if (!granted_) return -1;
  for (const Out& out : out_) {
    const auto route = routes_.route(Time::min(), out.area, !out.load, out.id);
    if (route.allowed_engines && !(*route.allowed_engines)[routes_.slot_of(out.taken ? "new" : "old")])
      return -1;
    if (route.closed && out.load) return -1;
  }
  return routes_.epoch();
}

}  // namespace yokestream::standin
