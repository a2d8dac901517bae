#include "wire.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

#include "config/settings.h"

namespace yokestream::simulator_adapter {
namespace {

using std::string;
using std::string_view;

string describe(std::size_t line, string_view field, string_view problem) {
  string text = "line " + std::to_string(line) + ": ";
  if (!field.empty()) text.append("field ").append(field).append(": ");
  return text.append(problem);
}

template <class T>
bool parse_whole(string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

bool parse_real(string_view text, double& value) { return parse_whole(text, value) && std::isfinite(value); }

std::vector<string_view> split(string_view text, char mark) {
  std::vector<string_view> parts;
  while (true) {
    const auto at = text.find(mark);
    parts.push_back(text.substr(0, at));
    if (at == string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

template <class E>
E choose(const Line& line, string_view field, string_view value,
         std::initializer_list<std::pair<string_view, E>> words) {
  for (const auto& [word, meaning] : words) {
    if (word == value) return meaning;
  }
  line.fail(field, "unknown value '" + string(value) + "'");
}

template <class Id>
Id id(const Line& line, string_view name, std::uint64_t when_absent) {
  const std::uint64_t n = line.natural(name, when_absent);
  if (n > std::numeric_limits<std::underlying_type_t<Id>>::max()) line.fail(name, "too large");
  return Id{static_cast<std::underlying_type_t<Id>>(n)};
}
template <class Id>
Id id(const Line& line, string_view name) {
  line.text(name);
  return id<Id>(line, name, 0);
}

policy::EngineId engine(const Line& line) { return policy::EngineId{string(line.text("Engine"))}; }

policy::Outcome outcome(const Line& line) {
  return choose<policy::Outcome>(line, "Code", line.text("Code"),
                                 {{"delivered", policy::Outcome::served},
                                  {"app_error", policy::Outcome::error},
                                  {"shed", policy::Outcome::shed},
                                  {"expired", policy::Outcome::timed_out},
                                  {"dial_failed", policy::Outcome::unreachable},
                                  {"dropped", policy::Outcome::reset},
                                  {"revoked", policy::Outcome::cancelled},
                                  {"unused", policy::Outcome::never_sent}});
}

constexpr std::uint64_t kStatsWork = 4096;  // `Stats`: work in milliseconds x this + memory in steps
constexpr double kStatsMemoryMb = 4;

constexpr string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

WireError::WireError(std::size_t line, string_view field, string_view problem)
    : std::runtime_error(describe(line, field, problem)) {}

Line::Line(std::size_t number, string_view text) : number_(number) {
  const auto parts = split(text, '\t');
  word_ = parts.front();
  if (word_.empty()) fail("", "no word at the start of the line");
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto at = parts[i].find('=');
    if (at == string_view::npos || at == 0) fail(parts[i], "not a name=value pair");
    pairs_.emplace_back(parts[i].substr(0, at), parts[i].substr(at + 1));
  }
}

void Line::fail(string_view field, string_view problem) const { throw WireError(number_, field, problem); }

const string_view* Line::find(string_view name) const {
  for (const auto& [key, value] : pairs_) {
    if (key == name) return &value;
  }
  return nullptr;
}

string_view Line::text(string_view name) const {
  const auto* value = find(name);
  if (!value) fail(name, "missing");
  if (value->empty()) fail(name, "empty");
  return *value;
}

std::uint64_t Line::natural(string_view name) const {
  std::uint64_t n = 0;
  if (!parse_whole(text(name), n)) fail(name, "not a whole number");
  return n;
}

std::uint64_t Line::natural(string_view name, std::uint64_t when_absent) const {
  return has(name) ? natural(name) : when_absent;
}

std::int64_t Line::integer(string_view name) const {
  std::int64_t n = 0;
  if (!parse_whole(text(name), n)) fail(name, "not an integer");
  return n;
}

double Line::number(string_view name, double when_absent) const {
  if (!has(name)) return when_absent;
  double n = 0;
  if (!parse_real(text(name), n)) fail(name, "not a number");
  return n;
}

bool Line::flag(string_view name) const {
  const auto* value = find(name);
  return value &&
         choose<bool>(*this, name, *value, {{"1", true}, {"0", false}, {"true", true}, {"false", false}});
}

std::vector<double> Line::row(string_view name) const {
  std::vector<double> out;
  const auto* value = find(name);
  if (!value || value->empty()) return out;
  for (const auto part : split(*value, ',')) {
    double n = 0;
    if (!parse_real(part, n)) fail(name, "not a row of numbers");
    out.push_back(n);
  }
  return out;
}

Settings decode_settings(const Line& begin) {
  yokestream::config::Options options;
  for (const auto& [name, value] : begin.pairs()) options.emplace(name, value);
  try {
    return yokestream::config::decode_settings(options);
  } catch (const yokestream::config::ConfigError& problem) {
    begin.fail(problem.key(), problem.problem());
  }
}

EngineEntry decode_entry(const Line& item) {
  EngineEntry e;
  if (item.word() != "item") item.fail("item", "expected, found '" + string(item.word()) + "'");
  e.engine = engine(item);
  e.zone = id<policy::ZoneId>(item, "Dc", 0);
  e.kind = id<policy::KindId>(item, "Flavor", 0);
  e.cell = id<policy::CellId>(item, "Group", 0);
  e.state = choose<policy::EngineState>(item, "StageState", item.text("StageState"),
                                        {{"U", policy::EngineState::up},
                                         {"L", policy::EngineState::draining},
                                         {"D", policy::EngineState::removed}});
  e.weight = item.number("PowerHint", 1);
  if (item.has("Launched") && item.integer("Launched") != 0)
    e.start_time = policy::Time(policy::Duration(item.integer("Launched")));
  return e;
}

EngineList decode_list_head(const Line& members) {
  EngineList list;
  list.kind = choose<policy::EngineListKind>(members, "Kind", members.text("Kind"),
                                             {{"delta", policy::EngineListKind::delta},
                                              {"full", policy::EngineListKind::full},
                                              {"cached", policy::EngineListKind::cached},
                                              {"failed", policy::EngineListKind::failed}});
  return list;
}

Event decode_event(const Line& line) {
  const auto word = line.word();
  if (word == "demand") {
    policy::QueryArrived q;
    q.query = id<policy::QueryId>(line, "Ticket");
    q.query_class = id<policy::ClassId>(line, "Type");
    q.tenant = id<policy::TenantId>(line, "Project", 0);
    q.table_group = id<policy::TableGroupId>(line, "TableGroup", 0);
    if (line.has("Relation")) q.order_key = id<policy::OrderKey>(line, "Relation");
    q.memory_mb = line.number("RamMb", 0);
    if (line.has("Expected") && line.integer("Expected") > 0)
      q.work = policy::Duration(line.integer("Expected"));
    q.time_left = policy::Duration(line.integer("Remaining"));
    q.is_retry = line.flag("Repeat");
    return q;
  }
  if (word == "elapsed") return policy::TimerFired{line.natural("Token")};
  if (word == "attempt_end") {
    policy::AttemptEnded end{id<policy::QueryId>(line, "Ticket"),
                             id<policy::AttemptNumber>(line, "Trial"),
                             engine(line),
                             outcome(line),
                             policy::Duration(line.integer("TimeTaken")),
                             line.flag("Finished"),
                             line.row("HealthInfo"),
                             std::nullopt,
                             0};
    if (const std::uint64_t stats = line.natural("Stats", 0); stats > 0) {
      end.work = std::chrono::milliseconds(static_cast<std::int64_t>(stats / kStatsWork));
      end.memory_mb = static_cast<double>(stats % kStatsWork) * kStatsMemoryMb;
    }
    return end;
  }
  if (word == "heartbeat") {
    policy::AttemptProgress n{id<policy::QueryId>(line, "Ticket"), id<policy::AttemptNumber>(line, "Trial"),
                              engine(line), policy::ProgressKind::progress, line.number("Value", 0)};
    const auto sort = line.natural("Sort");
    if (sort == 2)
      n.kind = policy::ProgressKind::spilling;
    else if (sort == 3)
      n.kind = n.value == 2 ? policy::ProgressKind::waiting_for_table_group
                            : policy::ProgressKind::waiting_for_memory;
    else if (sort != 1)
      line.fail("Sort", "unknown value");
    return n;
  }
  if (word == "ack_first")
    return policy::ResponseStarted{id<policy::QueryId>(line, "Ticket"),
                                   id<policy::AttemptNumber>(line, "Trial"), engine(line)};
  if (word == "client_left") return policy::ClientDisconnected{id<policy::QueryId>(line, "Ticket")};
  if (word == "ping_result") {
    return policy::ProbeEnded{engine(line), outcome(line), policy::Duration(line.integer("TimeTaken")),
                              line.row("HealthInfo")};
  }
  if (word == "note_from")
    return policy::PeerMessage{id<policy::ManagerId>(line, "Who"), unbase64(line, "Payload")};
  line.fail("", "unknown event '" + string(word) + "'");
}

string base64(string_view bytes) {
  if (bytes.empty()) return "-";
  string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      n = n << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) out += i + k <= bytes.size() ? kDigits[n >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

string unbase64(const Line& line, string_view name) {
  string_view text = line.text(name);
  if (text == "-") return {};
  if (text.size() % 4 != 0) line.fail(name, "not base64");
  string out;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t n = 0;
    std::size_t padding = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const char c = text[i + k];
      const auto digit = kDigits.find(c);
      if (c == '=' && k >= 2 && i + 4 == text.size())
        ++padding;
      else if (digit == string_view::npos || padding > 0)
        line.fail(name, "not base64");
      n = n << 6 | static_cast<std::uint32_t>(c == '=' ? 0 : digit);
    }
    for (std::size_t k = 0; k < 3 - padding; ++k) out += static_cast<char>(n >> (16 - 8 * k) & 255);
  }
  return out;
}

void encode(const Action& action, std::uint64_t instance, string& out) {
  const auto start = [&](string_view word) {
    out.append(word).append("\tI=").append(std::to_string(instance));
  };
  const auto put = [&](string_view name, string_view value) {
    out.append("\t").append(name).append("=").append(value);
  };
  const auto whole = [&](string_view name, auto value) {
    put(name, std::to_string(static_cast<std::uint64_t>(value)));
  };
  const auto time = [&](string_view name, policy::Duration value) {
    put(name, std::to_string(value.count()));
  };
  const auto real = [&](string_view name, double value) {
    std::array<char, 32> text;
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
    put(name, string_view(text.data(), static_cast<std::size_t>(end - text.data())));
  };
  struct Visitor {
    decltype(start)& start_;
    decltype(put)& put_;
    decltype(whole)& whole_;
    decltype(time)& time_;
    decltype(real)& real_;
    void operator()(const policy::Send& a) const {
      start_("try"), whole_("Ticket", a.query), put_("Engine", a.engine.name);
      if (a.timeout != policy::Duration{}) time_("MaxWait", a.timeout);
    }
    void operator()(const policy::Cancel& a) const {
      start_("recall"), whole_("Ticket", a.query), whole_("Trial", a.attempt);
    }
    void operator()(const policy::Reject& a) const {
      start_("turn_away"), whole_("Ticket", a.query);
      if (a.retry_after > policy::Duration{}) time_("StayAway", a.retry_after);
    }
    void operator()(const policy::Fail& a) const { start_("drop_request"), whole_("Ticket", a.query); }
    void operator()(const policy::SetExecutionTerms& a) const {
      start_("equip"), whole_("Ticket", a.query), real_("Memory", a.memory_grant_mb),
          whole_("WeightClass", a.priority);
    }
    void operator()(const policy::Probe& a) const { start_("sample"), put_("Engine", a.engine.name); }
    void operator()(const policy::BroadcastToPeers& a) const {
      start_("memo_to"), put_("Target", "-1"), put_("Payload", base64(a.payload));
    }
    void operator()(const policy::WatchEngineList&) const { start_("listen"), put_("On", "1"); }
    void operator()(const policy::FetchEngineList&) const { start_("snapshot"); }
    void operator()(const policy::StartTimer& a) const {
      start_("schedule"), time_("Wait", a.delay), whole_("Token", a.token);
    }
  };
  std::visit(Visitor{start, put, whole, time, real}, action);
  out += '\n';
}

}  // namespace yokestream::simulator_adapter
