#include "config/settings.h"

#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace yokestream::config {
namespace {

using namespace lynxstand;
using std::string;
using std::string_view;

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
E choose(string_view key, string_view value, std::initializer_list<std::pair<string_view, E>> words) {
  for (const auto& [word, meaning] : words) {
    if (word == value) return meaning;
  }
  throw ConfigError(key, "unknown value '" + string(value) + "'");
}

// Reads single settings by their paths.
class Reader {
 public:
  explicit Reader(const Options& values) : values_(values) {}
  std::optional<string_view> find(const string& path) const {
    const auto it = values_.find(path);
    if (it == values_.end()) return std::nullopt;
    return it->second;
  }
  string_view word(const string& path) const {
    if (const auto v = find(path)) return *v;
    throw ConfigError(path, "missing");
  }
  double real(const string& path, double when_absent) const {
    const auto v = find(path);
    return v ? real_value(path, *v) : when_absent;
  }
  bool flag(const string& path) const {
    const auto v = find(path);
    return v && choose<bool>(path, *v, {{"true", true}, {"1", true}, {"false", false}, {"0", false}});
  }
  std::uint64_t natural(const string& path, std::uint64_t when_absent) const {
    const auto v = find(path);
    std::uint64_t n = when_absent;
    if (v && !parse_whole(*v, n)) throw ConfigError(path, "not a whole number");
    return n;
  }
  Duration time(const string& path) const {
    const auto v = find(path);
    std::int64_t n = 0;
    if (v && !parse_whole(*v, n)) throw ConfigError(path, "not a time in nanoseconds");
    return Duration(n);
  }
  std::vector<string_view> list(const string& path) const {
    const auto v = find(path);
    return v && !v->empty() ? split(*v, ',') : std::vector<string_view>{};
  }
  std::vector<double> reals(const string& path) const {
    std::vector<double> out;
    for (const auto v : list(path)) out.push_back(real_value(path, v));
    return out;
  }
  template <class Id>
  std::vector<Id> ids(const string& path) const {
    std::vector<Id> out;
    for (const auto v : list(path)) {
      std::uint32_t n = 0;
      if (!parse_whole(v, n)) throw ConfigError(path, "not a list of positions");
      out.push_back(Id{n});
    }
    return out;
  }
  std::vector<bool> flags(const string& path) const {
    std::vector<bool> out;
    for (const auto v : list(path))
      out.push_back(choose<bool>(path, v, {{"true", true}, {"1", true}, {"false", false}, {"0", false}}));
    return out;
  }
  std::size_t count(const string& path) const {
    const std::uint64_t n = natural(path, 0);
    if (n > 10000) throw ConfigError(path, "too many");
    return static_cast<std::size_t>(n);
  }

 private:
  double real_value(const string& path, string_view text) const {
    double value = 0;
    if (!parse_real(text, value)) throw ConfigError(path, "not a number");
    return value;
  }
  const Options& values_;
};

lynxstand::ClassSettings decode_class(const Reader& o, const string& at, std::size_t position) {
  ClassSettings c;
  c.name = o.word(at + "Name");
  c.aim = o.time(at + "Promise");
  c.aim_stretch = o.real(at + "AimStretch", 0);
  o.word(at + "Deadline");
  c.deadline = o.time(at + "Deadline");
  c.worth = o.real(at + "Worth", 1);
  c.late_worth = o.real(at + "LateWorth", 0);
  if (const auto v = o.find(at + "Idempotency")) {
    c.repeatable = choose<Repeatable>(at + "Idempotency", *v,
                                      {{"idempotent", Repeatable::always},
                                       {"deduplicated", Repeatable::keyed},
                                       {"at_most_once", Repeatable::never}});
  }
  if (const auto v = o.find(at + "Group")) {
    c.repeat_group = choose<RepeatGroup>(
        at + "Group", *v,
        {{"all", RepeatGroup::everywhere}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}});
  }
  c.repeat_window = o.time(at + "RepeatWindow");
  c.in_order = o.flag(at + "FifoByKey");
  c.streamed = o.flag(at + "Streamed");
  c.only_zones = o.ids<ZoneId>(at + "ZonesOnly");
  c.only_kinds = o.ids<KindId>(at + "HostTypesOpen");
  const auto threads = o.reals("FamilyInfo.Dop");
  if (position < threads.size()) c.threads = threads[position];
  const auto writes = o.flags("FamilyInfo.WritesTables");
  if (position < writes.size()) c.loads_tables = writes[position];
  const auto waits = o.flags("FamilyInfo.WaitsForLoads");
  if (position < waits.size()) c.waits_for_loads = waits[position];
  return c;
}

}  // namespace

ConfigError::ConfigError(string_view key, string_view problem)
    : std::runtime_error(string(key) + ": " + string(problem)), key_(key), problem_(problem) {}

Settings decode_settings(const Options& options) {
  const Reader o(options);
  Settings s;
  o.word("Classes.count");
  for (std::size_t i = 0; i < o.count("Classes.count"); ++i) {
    s.classes.push_back(decode_class(o, "Classes." + std::to_string(i) + ".", i));
  }
  const auto cores = o.reals("FamilyInfo.CpuOfKind");
  const auto memory = o.reals("FamilyInfo.MemoryByKindMb");
  const std::size_t kinds = std::max(o.list("HostTypes").size(), cores.size());
  for (std::size_t i = 0; i < kinds; ++i) {
    KindSettings kind;
    if (i < cores.size()) kind.cores = cores[i];
    if (i < memory.size()) kind.memory_mb = memory[i];
    s.kinds.push_back(kind);
  }
  for (std::size_t i = 0; i < o.count("Orgs.count"); ++i) {
    const string at = "Orgs." + std::to_string(i) + ".";
    s.tenants.push_back({o.real(at + "Share", 0), o.real(at + "QuotaPerS", 0)});
  }
  s.zones = std::max<std::size_t>(1, o.list("Zones").size());
  s.my_zone = ZoneId{static_cast<std::uint32_t>(o.natural("MyZone", 0))};
  s.me = FrontId{static_cast<std::uint32_t>(o.natural("MyNumber", 0))};
  s.fronts = static_cast<std::uint32_t>(o.natural("GroupSize", 1));
  s.granularity = o.time("Granularity");
  s.may_cancel = o.flag("Allowed.Cancel");
  s.may_probe = o.flag("Allowed.Probes");
  s.may_message = o.flag("Allowed.PeerMessages");
  s.may_overlap = o.flag("Allowed.ParallelTries");
  s.may_advise_wait = o.flag("Allowed.RetryAfter");
  s.most_wait_advice = o.time("Allowed.MaxRetryAfter");
  s.most_attempts = static_cast<std::uint32_t>(o.natural("Allowed.SendCap", 1));
  if (const auto v = o.find("Discovery")) {
    s.list_source = choose<ListSource>(
        "Discovery", *v, {{"pushed", ListSource::pushed}, {"on_request", ListSource::on_request}});
  }
  if (const auto v = o.find("Report.How")) {
    s.reports = choose<ReportSource>("Report.How", *v,
                                     {{"piggyback", ReportSource::answers},
                                      {"pull", ReportSource::probes},
                                      {"silent", ReportSource::none}});
  }
  for (const auto name : o.list("Report.Fields")) {
    using F = ReportField;
    constexpr std::array<std::pair<string_view, F>, 8> fields{{{"inflight", F::inflight},
                                                               {"queue", F::queue},
                                                               {"util", F::cpu},
                                                               {"latency_ms", F::latency_ms},
                                                               {"qps", F::served_per_s},
                                                               {"eps", F::errors_per_s},
                                                               {"x0", F::memory},
                                                               {"x1", F::disks}}};
    F field = F::other;
    for (const auto& [word, meaning] : fields) {
      if (word == name) field = meaning;
    }
    s.report_fields.push_back(field);
  }
  s.grants = o.flag("FamilyInfo.Grants");
  s.priorities = o.flag("FamilyInfo.LanesCount");
  s.most_grant = o.real("FamilyInfo.MaxGrantShare", 1);
  if (const auto v = o.find("FamilyInfo.OutOfMemory")) {
    s.memory_short = choose<MemoryShort>(
        "FamilyInfo.OutOfMemory", *v,
        {{"queue", MemoryShort::wait}, {"trim", MemoryShort::shrink}, {"swap", MemoryShort::page}});
  }
  s.note_every = o.time("FamilyInfo.NotePeriod");
  s.tells_cost = o.flag("FamilyInfo.Bills");
  s.over_share_worth = o.real("OverShareWorth", 1);
  s.answer_slack = o.time("Safety.AnswerSlack");
  s.drain_grace = o.time("Safety.DrainGrace");
  s.start_capacity = o.real("Safety.StartCapacity", 1);
  s.cold = o.time("Safety.Cold");
  s.tip_multiple = o.real("Safety.TipMultiple", 0);
  s.tip_after = o.time("Safety.TipAfter");
  s.ask_within = o.time("Safety.AskWithin");
  s.order_pause = o.time("Safety.OrderPause");
  s.extra_limited = o.find("Safety.RatioSpan").has_value();
  s.extra_free = o.real("Safety.MinExtra", 0);
  s.extra_ratio = o.real("Safety.ExtraRatio", 0);
  s.extra_span = o.time("Safety.RatioSpan");
  return s;
}

RealSettings decode_real_settings(const Options& options) {
  const Reader o(options);
  const auto names = [&](const string& path) {
    const auto list = o.list(path);
    return std::vector<string>(list.begin(), list.end());
  };
  RealSettings real;
  for (std::size_t i = 0; i < o.count("Classes.count"); ++i) {
    const string at = "Classes." + std::to_string(i) + ".";
    real.classes.emplace_back(o.word(at + "Name"));
    real.deadlines.push_back(o.time(at + "Deadline"));
  }
  for (std::size_t i = 0; i < o.count("Orgs.count"); ++i)
    real.tenants.emplace_back(o.word("Orgs." + std::to_string(i) + ".Name"));
  real.kinds = names("HostTypes");
  real.zones = names("Zones");
  real.report_fields = names("Report.Fields");
  real.dial_time = o.time("Allowed.DialTimeout");
  if (real.dial_time <= Duration{}) throw ConfigError("Allowed.DialTimeout", "not a time above 0");
  real.idle_close = o.time("Allowed.IdleClose");
  real.streams_per_connection = o.natural("Allowed.StreamsPerConn", 1);
  if (real.streams_per_connection == 0) throw ConfigError("Allowed.StreamsPerConn", "not above 0");
  real.open_cap = o.natural("Allowed.OpenCap", 0);
  return real;
}

}  // namespace yokestream::config
