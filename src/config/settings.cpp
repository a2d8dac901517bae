#include "config/settings.h"

#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace yokestream::config {
namespace {

using namespace yokestream::policy;
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

policy::ClassSettings decode_class(const Reader& o, const string& at, std::size_t position) {
  ClassSettings c;
  c.name = o.word(at + "Name");
  c.latency_objective = o.time(at + "Promise");
  c.latency_objective_stretch = o.real(at + "AimStretch", 0);
  o.word(at + "Deadline");
  c.deadline = o.time(at + "Deadline");
  c.priority_weight = o.real(at + "Worth", 1);
  c.late_weight_ratio = o.real(at + "LateWorth", 0);
  if (const auto v = o.find(at + "Idempotency")) {
    c.idempotency = choose<Idempotency>(at + "Idempotency", *v,
                                        {{"idempotent", Idempotency::idempotent},
                                         {"deduplicated", Idempotency::keyed},
                                         {"at_most_once", Idempotency::non_idempotent}});
  }
  if (const auto v = o.find(at + "Group")) {
    c.deduplication_scope = choose<DeduplicationScope>(at + "Group", *v,
                                                       {{"all", DeduplicationScope::everywhere},
                                                        {"zone", DeduplicationScope::zone},
                                                        {"cell", DeduplicationScope::cell}});
  }
  c.deduplication_window = o.time(at + "RepeatWindow");
  c.ordered = o.flag(at + "FifoByKey");
  c.streamed = o.flag(at + "Streamed");
  c.allowed_zones = o.ids<ZoneId>(at + "ZonesOnly");
  c.allowed_kinds = o.ids<KindId>(at + "HostTypesOpen");
  const auto threads = o.reals("FamilyInfo.Dop");
  if (position < threads.size()) c.threads = threads[position];
  const auto writes = o.flags("FamilyInfo.WritesTables");
  if (position < writes.size()) c.locks_table_group = writes[position];
  const auto waits = o.flags("FamilyInfo.WaitsForLoads");
  if (position < waits.size()) c.waits_for_table_group = waits[position];
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
  s.local_zone = ZoneId{static_cast<std::uint32_t>(o.natural("MyZone", 0))};
  s.manager_id = ManagerId{static_cast<std::uint32_t>(o.natural("MyNumber", 0))};
  s.manager_count = static_cast<std::uint32_t>(o.natural("GroupSize", 1));
  s.time_granularity = o.time("Granularity");
  s.may_cancel = o.flag("Allowed.Cancel");
  s.may_probe = o.flag("Allowed.Probes");
  s.may_message = o.flag("Allowed.PeerMessages");
  s.may_hedge = o.flag("Allowed.ParallelTries");
  s.may_send_retry_after = o.flag("Allowed.RetryAfter");
  s.max_retry_after = o.time("Allowed.MaxRetryAfter");
  s.max_attempts = static_cast<std::uint32_t>(o.natural("Allowed.SendCap", 1));
  if (const auto v = o.find("Discovery")) {
    s.engine_list_source = choose<EngineListSource>(
        "Discovery", *v,
        {{"pushed", EngineListSource::pushed}, {"on_request", EngineListSource::on_request}});
  }
  if (const auto v = o.find("Report.How")) {
    s.load_report_source = choose<LoadReportSource>("Report.How", *v,
                                                    {{"piggyback", LoadReportSource::responses},
                                                     {"pull", LoadReportSource::probes},
                                                     {"silent", LoadReportSource::none}});
  }
  for (const auto name : o.list("Report.Fields")) {
    using F = LoadReportField;
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
    s.load_report_fields.push_back(field);
  }
  s.memory_grants = o.flag("FamilyInfo.Grants");
  s.query_priorities = o.flag("FamilyInfo.LanesCount");
  s.max_memory_grant_ratio = o.real("FamilyInfo.MaxGrantShare", 1);
  if (const auto v = o.find("FamilyInfo.OutOfMemory")) {
    s.memory_shortage = choose<MemoryShortage>(
        "FamilyInfo.OutOfMemory", *v,
        {{"queue", MemoryShortage::wait}, {"trim", MemoryShortage::shrink}, {"swap", MemoryShortage::page}});
  }
  s.progress_interval = o.time("FamilyInfo.NotePeriod");
  s.reports_cost = o.flag("FamilyInfo.Bills");
  s.over_quota_weight_ratio = o.real("OverShareWorth", 1);
  s.answer_slack = o.time("Safety.AnswerSlack");
  s.drain_grace = o.time("Safety.DrainGrace");
  s.slow_start_initial_ratio = o.real("Safety.StartCapacity", 1);
  s.slow_start_window = o.time("Safety.Cold");
  s.cold_overload_multiple = o.real("Safety.TipMultiple", 0);
  s.cold_overload_window = o.time("Safety.TipAfter");
  s.engine_list_request_deadline = o.time("Safety.AskWithin");
  s.order_pause = o.time("Safety.OrderPause");
  s.retry_budget_enabled = o.find("Safety.RatioSpan").has_value();
  s.retry_budget_min_retries = o.real("Safety.MinExtra", 0);
  s.retry_budget_ratio = o.real("Safety.ExtraRatio", 0);
  s.retry_budget_window = o.time("Safety.RatioSpan");
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
