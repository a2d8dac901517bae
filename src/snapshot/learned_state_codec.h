// Encodes the decision module's learned state for a successor process on the same machine.
//
// The encoding consists of a format header, a digest of the class and kind names, the time of encoding, the
// state and a checksum over all of it. Input that is truncated, has another format, was made with other
// settings or later than `now` is rejected as a whole, with a DecodeError. Memory use: one copy of the
// encoded bytes, at most kMaxBytes.
//
// All functions are pure and may be called from any thread.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/settings.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::snapshot {

inline constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxEngines = 4096;  // encode() omits the engines beyond this

struct RestoredState {
  policy::LearnedState state;
  policy::Duration age{};  // time since it was encoded; 0 or more
};

enum class DecodeError {
  too_long,
  other_format,
  truncated,
  corrupt,         // wrong checksum
  other_settings,  // the class or kind names, or their order, differ
  other_clock,     // the time of encoding is before the epoch or after `now`
};
// Returns the cause as a clause for the log.
[[nodiscard]] std::string_view to_string(DecodeError error);

// `now` must come from a clock that all processes of the machine share.
[[nodiscard]] std::string encode(policy::LearnedState state, const config::RealSettings& names,
                                 policy::Time now);
[[nodiscard]] std::variant<RestoredState, DecodeError> decode(std::string_view bytes,
                                                              const config::RealSettings& names,
                                                              policy::Time now);

}  // namespace yokestream::snapshot
