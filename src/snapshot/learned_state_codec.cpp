#include "snapshot/learned_state_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace yokestream::snapshot {
namespace {

using policy::LearnedState;

constexpr std::string_view kFormatHeader = "yokestream-learnt-1\n";
constexpr std::size_t kChecksumBytes = sizeof(XXH64_hash_t);
constexpr std::size_t kMaxNameBytes = 1024;

// The archive_* function templates below define the format for both directions: with a Writer they append the
// members, with a Reader they consume them in the same order. Numbers are stored in the machine's native
// representation. Each function returns false if the bytes do not match the format; a Writer always succeeds.
struct Writer {
  std::string bytes;

  template <class T>
  bool number(const T& value) {
    bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
    return true;
  }
  bool text(const std::string& value) {
    number(static_cast<std::uint32_t>(value.size()));
    bytes += value;
    return true;
  }
  template <class List>
  bool size(const List& list, std::size_t /*min_element_bytes*/) {
    return number(static_cast<std::uint32_t>(list.size()));
  }
};

struct Reader {
  std::string_view bytes;  // the part that was not read yet

  template <class T>
  bool number(T& value) {
    if (bytes.size() < sizeof value) return false;
    std::memcpy(&value, bytes.data(), sizeof value);
    bytes.remove_prefix(sizeof value);
    return true;
  }
  bool text(std::string& value) {
    std::uint32_t size = 0;
    if (!number(size) || size > kMaxNameBytes || size > bytes.size()) return false;
    value = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return true;
  }
  // Failure: a corrupt size would make the reader allocate gigabytes. Symptom: the process runs out of memory
  // during its start. Guard: a list is never resized to more elements than the remaining bytes can hold.
  template <class List>
  bool size(List& list, std::size_t min_element_bytes) {
    std::uint32_t size = 0;
    if (!number(size) || size > bytes.size() / min_element_bytes) return false;
    list.resize(size);
    return true;
  }
};

template <class Archive, class... Numbers>
bool archive_numbers(Archive& archive, Numbers&... numbers) {
  return (archive.number(numbers) && ...);
}

template <class Archive, class List, class ArchiveElement>
bool archive_list(Archive& archive, List& list, std::size_t min_element_bytes,
                  ArchiveElement archive_element) {
  return archive.size(list, min_element_bytes) && std::all_of(list.begin(), list.end(), archive_element);
}

template <class Archive, class Row>
bool archive_row(Archive& archive, Row& row) {
  return archive_list(archive, row, sizeof(double), [&](auto& value) { return archive.number(value); });
}

template <class Archive, class Matrix>
bool archive_matrix(Archive& archive, Matrix& matrix) {
  return archive_list(archive, matrix, sizeof(std::uint32_t),
                      [&](auto& row) { return archive_row(archive, row); });
}

template <class Archive>
bool archive_pool(Archive& archive, policy::LearnedPool& pool) {
  return archive_numbers(archive, pool.observed_own_queries, pool.observed_all_queries, pool.mean_work_s,
                         pool.unannounced_time_s, pool.unannounced_work_s, pool.unannounced_memory_mb_s,
                         pool.mean_unannounced_threads, pool.mean_unannounced_memory_mb,
                         pool.mean_value_per_work_second);
}

template <class Archive>
bool archive_class(Archive& archive, policy::LearnedClass& query_class) {
  return archive_numbers(archive, query_class.bias, query_class.mean_error, query_class.arrivals,
                         query_class.mean_estimated_work_s, query_class.outcomes,
                         query_class.mean_log_slowdown, query_class.log_slowdown_deviation,
                         query_class.best_log_slowdown, query_class.cost_reports, query_class.work_factor,
                         query_class.memory_factor);
}

template <class Archive>
bool archive_start_time(Archive& archive, std::optional<policy::Time>& start_time) {
  std::int64_t ticks = start_time ? start_time->time_since_epoch().count() : 0;
  std::uint8_t is_known = start_time.has_value() ? 1 : 0;
  if (!archive_numbers(archive, is_known, ticks) || is_known > 1) return false;
  start_time = is_known == 1 ? std::optional(policy::Time(policy::Duration(ticks))) : std::nullopt;
  return true;
}

template <class Archive>
bool archive_engine(Archive& archive, LearnedState::Engine& engine) {
  policy::LearnedEngine& learned = engine.learned;
  std::uint8_t ejected = learned.ejected ? 1 : 0;
  if (!archive.text(engine.id.name)) return false;
  if (!archive_start_time(archive, engine.start_time)) return false;
  if (!archive_matrix(archive, learned.interference)) return false;
  if (!archive_row(archive, learned.mean_error)) return false;
  if (!archive_numbers(archive, learned.log_slowdown, learned.recent_outcomes, learned.failure_ratio,
                       ejected))
    return false;
  if (ejected > 1) return false;
  learned.ejected = ejected == 1;
  return true;
}

template <class Archive>
bool archive_state(Archive& archive, LearnedState& state) {
  const auto archive_one_class = [&](auto& query_class) { return archive_class(archive, query_class); };
  const auto archive_kind = [&](auto& kind) { return archive_matrix(archive, kind); };
  const auto archive_one_engine = [&](auto& engine) { return archive_engine(archive, engine); };
  return archive_pool(archive, state.pool) &&
         archive_list(archive, state.classes, sizeof(double), archive_one_class) &&
         archive_list(archive, state.kinds, sizeof(std::uint32_t), archive_kind) &&
         archive_list(archive, state.engines, sizeof(std::uint32_t), archive_one_engine);
}

// Learned values are stored by the position of their class and kind, so a successor with other names or
// another order of them must not use them.
std::uint64_t digest(const config::RealSettings& names) {
  std::string text;
  for (const auto* list : {&names.classes, &names.kinds}) {
    for (const auto& name : *list) text += name + '\n';
    text += '\n';
  }
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::string_view to_string(DecodeError error) {
  switch (error) {
    case DecodeError::too_long:
      return "it exceeds the size limit";
    case DecodeError::other_format:
      return "it has another format";
    case DecodeError::truncated:
      return "it is truncated";
    case DecodeError::corrupt:
      return "it is truncated or corrupt";
    case DecodeError::other_settings:
      return "it was made with other classes or kinds";
    case DecodeError::other_clock:
      return "it was made with another clock";
  }
  return "";
}

std::string encode(LearnedState state, const config::RealSettings& names, policy::Time now) {
  if (state.engines.size() > kMaxEngines) state.engines.resize(kMaxEngines);
  std::erase_if(state.engines, [](const auto& engine) { return engine.id.name.size() > kMaxNameBytes; });
  Writer writer{std::string(kFormatHeader)};
  writer.number(digest(names));
  writer.number(static_cast<std::int64_t>(now.time_since_epoch().count()));
  archive_state(writer, state);
  writer.number(XXH64(writer.bytes.data(), writer.bytes.size(), 0));
  return std::move(writer.bytes);
}

std::variant<RestoredState, DecodeError> decode(std::string_view bytes, const config::RealSettings& names,
                                                policy::Time now) {
  if (bytes.size() > kMaxBytes) return DecodeError::too_long;
  if (!bytes.starts_with(kFormatHeader)) return DecodeError::other_format;
  if (bytes.size() < kFormatHeader.size() + kChecksumBytes) return DecodeError::truncated;

  XXH64_hash_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + bytes.size() - kChecksumBytes, kChecksumBytes);
  bytes.remove_suffix(kChecksumBytes);
  if (checksum != XXH64(bytes.data(), bytes.size(), 0)) return DecodeError::corrupt;

  Reader reader{bytes.substr(kFormatHeader.size())};
  std::uint64_t names_digest = 0;
  std::int64_t encoded_at = 0;
  if (!archive_numbers(reader, names_digest, encoded_at)) return DecodeError::truncated;
  if (names_digest != digest(names)) return DecodeError::other_settings;

  RestoredState restored;
  restored.age = now.time_since_epoch() - policy::Duration(encoded_at);
  if (encoded_at < 0 || restored.age < policy::Duration{}) return DecodeError::other_clock;
  if (!archive_state(reader, restored.state) || !reader.bytes.empty()) return DecodeError::other_format;
  return restored;
}

}  // namespace yokestream::snapshot
