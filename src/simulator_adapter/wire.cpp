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
bool parse_number(string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

bool parse_real(string_view text, double& real) { return parse_number(text, real) && std::isfinite(real); }

std::vector<string_view> split(string_view text, char separator) {
  std::vector<string_view> parts;
  while (true) {
    const auto at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

template <class Enum>
Enum parse_enum(const Line& line, string_view field, string_view value,
                std::initializer_list<std::pair<string_view, Enum>> words) {
  for (const auto& [word, meaning] : words) {
    if (word == value) return meaning;
  }
  line.fail(field, "unknown value '" + string(value) + "'");
}

template <class Id>
Id parse_id(const Line& line, string_view name, std::uint64_t default_value) {
  const std::uint64_t n = line.unsigned_integer(name, default_value);
  if (n > std::numeric_limits<std::underlying_type_t<Id>>::max()) line.fail(name, "too large");
  return Id{static_cast<std::underlying_type_t<Id>>(n)};
}
template <class Id>
Id parse_id(const Line& line, string_view name) {
  line.text(name);
  return parse_id<Id>(line, name, 0);
}

policy::EngineId parse_engine(const Line& line) { return policy::EngineId{string(line.text("Engine"))}; }

policy::Outcome parse_outcome(const Line& line) {
  return parse_enum<policy::Outcome>(line, "Code", line.text("Code"),
                                     {{"delivered", policy::Outcome::served},
                                      {"app_error", policy::Outcome::error},
                                      {"shed", policy::Outcome::shed},
                                      {"expired", policy::Outcome::timed_out},
                                      {"dial_failed", policy::Outcome::unreachable},
                                      {"dropped", policy::Outcome::reset},
                                      {"revoked", policy::Outcome::cancelled},
                                      {"unused", policy::Outcome::never_sent}});
}

constexpr std::uint64_t kStatsWorkFactor = 4096;  // Stats = work in ms x this + memory in kStatsMemoryStepMb
constexpr double kStatsMemoryStepMb = 4;

constexpr string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

WireError::WireError(std::size_t line, string_view field, string_view problem)
    : std::runtime_error(describe(line, field, problem)) {}

Line::Line(std::size_t line_number, string_view text) : line_number_(line_number) {
  const auto parts = split(text, '\t');
  word_ = parts.front();
  if (word_.empty()) fail("", "the line does not begin with a word");
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto at = parts[i].find('=');
    if (at == string_view::npos || at == 0) fail(parts[i], "not a name=value pair");
    pairs_.emplace_back(parts[i].substr(0, at), parts[i].substr(at + 1));
  }
}

void Line::fail(string_view field, string_view cause) const { throw WireError(line_number_, field, cause); }

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

std::uint64_t Line::unsigned_integer(string_view name) const {
  std::uint64_t n = 0;
  if (!parse_number(text(name), n)) fail(name, "not a whole number");
  return n;
}

std::uint64_t Line::unsigned_integer(string_view name, std::uint64_t default_value) const {
  return has(name) ? unsigned_integer(name) : default_value;
}

std::int64_t Line::integer(string_view name) const {
  std::int64_t n = 0;
  if (!parse_number(text(name), n)) fail(name, "not an integer");
  return n;
}

double Line::number(string_view name, double default_value) const {
  if (!has(name)) return default_value;
  double n = 0;
  if (!parse_real(text(name), n)) fail(name, "not a number");
  return n;
}

bool Line::flag(string_view name) const {
  const auto* value = find(name);
  return value &&
         parse_enum<bool>(*this, name, *value, {{"1", true}, {"0", false}, {"true", true}, {"false", false}});
}

std::vector<double> Line::number_list(string_view name) const {
  std::vector<double> out;
  const auto* value = find(name);
  if (!value || value->empty()) return out;
  for (const auto part : split(*value, ',')) {
    double n = 0;
    if (!parse_real(part, n)) fail(name, "not a list of numbers");
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
  EngineEntry entry;
  if (item.word() != "item") item.fail("item", "expected, found '" + string(item.word()) + "'");
  entry.engine = parse_engine(item);
  entry.zone = parse_id<policy::ZoneId>(item, "Dc", 0);
  entry.kind = parse_id<policy::KindId>(item, "Flavor", 0);
  entry.cell = parse_id<policy::CellId>(item, "Group", 0);
  entry.state = parse_enum<policy::EngineState>(item, "StageState", item.text("StageState"),
                                                {{"U", policy::EngineState::up},
                                                 {"L", policy::EngineState::draining},
                                                 {"D", policy::EngineState::removed}});
  entry.weight = item.number("PowerHint", 1);
  if (item.has("Launched") && item.integer("Launched") != 0)
    entry.start_time = policy::Time(policy::Duration(item.integer("Launched")));
  return entry;
}

EngineList decode_list_header(const Line& members) {
  EngineList list;
  list.kind = parse_enum<policy::EngineListKind>(members, "Kind", members.text("Kind"),
                                                 {{"delta", policy::EngineListKind::delta},
                                                  {"full", policy::EngineListKind::full},
                                                  {"cached", policy::EngineListKind::cached},
                                                  {"failed", policy::EngineListKind::failed}});
  return list;
}

Event decode_event(const Line& line) {
  const auto word = line.word();
  if (word == "demand") {
    policy::QueryArrived query;
    query.query = parse_id<policy::QueryId>(line, "Ticket");
    query.query_class = parse_id<policy::ClassId>(line, "Type");
    query.tenant = parse_id<policy::TenantId>(line, "Project", 0);
    query.table_group = parse_id<policy::TableGroupId>(line, "TableGroup", 0);
    if (line.has("Relation")) query.order_key = parse_id<policy::OrderKey>(line, "Relation");
    query.memory_mb = line.number("RamMb", 0);
    if (line.has("Expected") && line.integer("Expected") > 0)
      query.work = policy::Duration(line.integer("Expected"));
    query.time_left = policy::Duration(line.integer("Remaining"));
    query.is_retry = line.flag("Repeat");
    return query;
  }
  if (word == "elapsed") return policy::TimerFired{line.unsigned_integer("Token")};
  if (word == "attempt_end") {
    policy::AttemptEnded end{parse_id<policy::QueryId>(line, "Ticket"),
                             parse_id<policy::AttemptNumber>(line, "Trial"),
                             parse_engine(line),
                             parse_outcome(line),
                             policy::Duration(line.integer("TimeTaken")),
                             line.flag("Finished"),
                             line.number_list("HealthInfo"),
                             std::nullopt,
                             0};
    if (const std::uint64_t stats = line.unsigned_integer("Stats", 0); stats > 0) {
      end.work = std::chrono::milliseconds(static_cast<std::int64_t>(stats / kStatsWorkFactor));
      end.memory_mb = static_cast<double>(stats % kStatsWorkFactor) * kStatsMemoryStepMb;
    }
    return end;
  }
  if (word == "heartbeat") {
    policy::AttemptProgress progress{parse_id<policy::QueryId>(line, "Ticket"),
                                     parse_id<policy::AttemptNumber>(line, "Trial"), parse_engine(line),
                                     policy::ProgressKind::progress, line.number("Value", 0)};
    const auto kind = line.unsigned_integer("Sort");
    if (kind == 2)
      progress.kind = policy::ProgressKind::spilling;
    else if (kind == 3)
      progress.kind = progress.value == 2 ? policy::ProgressKind::waiting_for_table_group
                                          : policy::ProgressKind::waiting_for_memory;
    else if (kind != 1)
      line.fail("Sort", "unknown value");
    return progress;
  }
  if (word == "ack_first")
    return policy::ResponseStarted{parse_id<policy::QueryId>(line, "Ticket"),
                                   parse_id<policy::AttemptNumber>(line, "Trial"), parse_engine(line)};
  if (word == "client_left") return policy::ClientDisconnected{parse_id<policy::QueryId>(line, "Ticket")};
  if (word == "ping_result") {
    return policy::ProbeEnded{parse_engine(line), parse_outcome(line),
                              policy::Duration(line.integer("TimeTaken")), line.number_list("HealthInfo")};
  }
  if (word == "note_from")
    return policy::PeerMessage{parse_id<policy::ManagerId>(line, "Who"), decode_base64(line, "Payload")};
  line.fail("", "unknown event '" + string(word) + "'");
}

string encode_base64(string_view bytes) {
  if (bytes.empty()) return "-";
  string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      n = n << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) out += i + k <= bytes.size() ? kBase64[n >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

string decode_base64(const Line& line, string_view name) {
  string_view text = line.text(name);
  if (text == "-") return {};
  if (text.size() % 4 != 0) line.fail(name, "not base64");
  string out;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t n = 0;
    std::size_t padding = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const char c = text[i + k];
      const auto digit = kBase64.find(c);
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
  const auto put_integer = [&](string_view name, auto value) {
    put(name, std::to_string(static_cast<std::uint64_t>(value)));
  };
  const auto put_time = [&](string_view name, policy::Duration d) { put(name, std::to_string(d.count())); };
  const auto put_number = [&](string_view name, double value) {
    std::array<char, 32> text;
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
    put(name, string_view(text.data(), static_cast<std::size_t>(end - text.data())));
  };
  struct Visitor {
    decltype(start)& start_;
    decltype(put)& put_;
    decltype(put_integer)& put_integer_;
    decltype(put_time)& put_time_;
    decltype(put_number)& put_number_;
    void operator()(const policy::Send& a) const {
      start_("try"), put_integer_("Ticket", a.query), put_("Engine", a.engine.name);
      if (a.timeout != policy::Duration{}) put_time_("MaxWait", a.timeout);
    }
    void operator()(const policy::Cancel& a) const {
      start_("recall"), put_integer_("Ticket", a.query), put_integer_("Trial", a.attempt);
    }
    void operator()(const policy::Reject& a) const {
      start_("turn_away"), put_integer_("Ticket", a.query);
      if (a.retry_after > policy::Duration{}) put_time_("StayAway", a.retry_after);
    }
    void operator()(const policy::Fail& a) const { start_("drop_request"), put_integer_("Ticket", a.query); }
    void operator()(const policy::SetExecutionTerms& a) const {
      start_("equip"), put_integer_("Ticket", a.query), put_number_("Memory", a.memory_grant_mb),
          put_integer_("WeightClass", a.priority);
    }
    void operator()(const policy::Probe& a) const { start_("sample"), put_("Engine", a.engine.name); }
    void operator()(const policy::BroadcastToPeers& a) const {
      start_("memo_to"), put_("Target", "-1"), put_("Payload", encode_base64(a.payload));
    }
    void operator()(const policy::WatchEngineList&) const { start_("listen"), put_("On", "1"); }
    void operator()(const policy::FetchEngineList&) const { start_("snapshot"); }
    void operator()(const policy::StartTimer& a) const {
      start_("schedule"), put_time_("Wait", a.delay), put_integer_("Token", a.token);
    }
  };
  std::visit(Visitor{start, put, put_integer, put_time, put_number}, action);
  out += '\n';
}

}  // namespace yokestream::simulator_adapter
