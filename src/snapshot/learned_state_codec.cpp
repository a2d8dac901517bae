#include "snapshot/learned_state_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace yokestream::snapshot {
namespace {

using policy::LearnedClass;
using policy::LearnedEngine;
using policy::LearnedPool;
using policy::LearnedState;

constexpr std::string_view kForm = "yokestream-learnt-1\n";
constexpr std::size_t kSumBytes = sizeof(XXH64_hash_t);
constexpr std::size_t kLongestName = 1024;

// One description of the form for both ways: Writer and Reader are told the same members in the same order.
struct Writer {
  std::string bytes;
  template <class T>
  bool number(const T& x) {
    bytes.append(reinterpret_cast<const char*>(&x), sizeof x);
    return true;
  }
  bool text(const std::string& x) {
    return number(static_cast<std::uint32_t>(x.size())) && (bytes += x, true);
  }
  template <class List>
  bool size(const List& list, std::size_t) {
    return number(static_cast<std::uint32_t>(list.size()));
  }
};
struct Reader {
  std::string_view bytes;
  template <class T>
  bool number(T& x) {
    if (bytes.size() < sizeof x) return false;
    std::memcpy(&x, bytes.data(), sizeof x);
    bytes.remove_prefix(sizeof x);
    return true;
  }
  bool text(std::string& x) {
    std::uint32_t size = 0;
    if (!number(size) || size > kLongestName || size > bytes.size()) return false;
    x = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return true;
  }
  template <class List>
  bool size(List& list, std::size_t each) {  // `each`: bytes that one element has at least
    std::uint32_t size = 0;
    if (!number(size) || size > bytes.size() / each) return false;
    list.resize(size);
    return true;
  }
};

template <class Way, class... Numbers>
bool numbers(Way& way, Numbers&... all) {
  return (way.number(all) && ...);
}
template <class Way, class Row>
bool row(Way& way, Row& list) {
  return way.size(list, sizeof(double)) &&
         std::all_of(list.begin(), list.end(), [&](auto& x) { return way.number(x); });
}
template <class Way, class Matrix>
bool matrix(Way& way, Matrix& list) {
  return way.size(list, sizeof(std::uint32_t)) &&
         std::all_of(list.begin(), list.end(), [&](auto& x) { return row(way, x); });
}
template <class Way, class Pool>
bool pool(Way& way, Pool& p) {
  return numbers(way, p.observed_own_queries, p.observed_all_queries, p.mean_work_s, p.unannounced_time_s,
                 p.unannounced_work_s, p.unannounced_memory_mb_s, p.mean_unannounced_threads,
                 p.mean_unannounced_memory_mb, p.mean_value_per_work_second);
}
template <class Way, class Class>
bool one_class(Way& way, Class& c) {
  return numbers(way, c.bias, c.mean_error, c.arrivals, c.mean_estimated_work_s, c.outcomes,
                 c.mean_log_slowdown, c.log_slowdown_deviation, c.best_log_slowdown, c.cost_reports,
                 c.work_factor, c.memory_factor);
}
template <class Way>
bool start(Way& way, std::optional<policy::Time>& started) {
  std::int64_t at = started ? started->time_since_epoch().count() : 0;
  std::uint8_t told = started.has_value();
  if (!numbers(way, told, at) || told > 1) return false;
  started = told ? std::optional(policy::Time(policy::Duration(at))) : std::nullopt;
  return true;
}
template <class Way>
bool engine(Way& way, LearnedState::Engine& e) {
  std::uint8_t shunned = e.learned.ejected;
  if (!way.text(e.id.name) || !start(way, e.start_time) || !matrix(way, e.learned.interference) ||
      !row(way, e.learned.mean_error) ||
      !numbers(way, e.learned.log_slowdown, e.learned.recent_outcomes, e.learned.failure_ratio, shunned) ||
      shunned > 1)
    return false;
  e.learned.ejected = shunned;
  return true;
}
template <class Way>
bool all(Way& way, LearnedState& state) {
  const auto each = [&](auto& list, std::size_t least, auto one) {
    return way.size(list, least) && std::all_of(list.begin(), list.end(), one);
  };
  return pool(way, state.pool) &&
         each(state.classes, sizeof(double), [&](auto& c) { return one_class(way, c); }) &&
         each(state.kinds, sizeof(std::uint32_t), [&](auto& k) { return matrix(way, k); }) &&
         each(state.engines, sizeof(std::uint32_t), [&](auto& e) { return engine(way, e); });
}

// Positions mean something under the same names only.
std::uint64_t digest(const config::RealSettings& names) {
  std::string text;
  for (const auto* list : {&names.classes, &names.kinds}) {
    for (const auto& name : *list) text += name + '\n';
    text += '\n';
  }
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::string encode(LearnedState kept, const config::RealSettings& names, policy::Time now) {
  if (kept.engines.size() > kMostEngines) kept.engines.resize(kMostEngines);
  std::erase_if(kept.engines, [](const auto& e) { return e.id.name.size() > kLongestName; });
  Writer writer{std::string(kForm)};
  writer.number(digest(names));
  writer.number(static_cast<std::int64_t>(now.time_since_epoch().count()));
  all(writer, kept);
  writer.number(XXH64(writer.bytes.data(), writer.bytes.size(), 0));
  return std::move(writer.bytes);
}

std::variant<RestoredState, std::string> decode(std::string_view bytes, const config::RealSettings& names,
                                                policy::Time now) {
  if (bytes.size() > kMostBytes) return "it is too long";
  if (!bytes.starts_with(kForm)) return "it is of another form";
  if (bytes.size() < kForm.size() + kSumBytes) return "it is cut short";
  XXH64_hash_t sum = 0;
  std::memcpy(&sum, bytes.data() + bytes.size() - kSumBytes, kSumBytes);
  bytes.remove_suffix(kSumBytes);
  if (sum != XXH64(bytes.data(), bytes.size(), 0)) return "it is cut short or spoilt";
  Reader reader{bytes.substr(kForm.size())};
  std::uint64_t of = 0;
  std::int64_t at = 0;
  if (!numbers(reader, of, at)) return "it is cut short";
  if (of != digest(names)) return "it is of other classes or kinds";
  RestoredState inherited;
  inherited.age = now.time_since_epoch() - policy::Duration(at);
  if (at < 0 || inherited.age < policy::Duration{}) return "it is of another clock";
  if (!all(reader, inherited.state) || !reader.bytes.empty()) return "it is of another form";
  return inherited;
}

}  // namespace yokestream::snapshot
