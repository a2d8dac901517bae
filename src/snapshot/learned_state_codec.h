// The decision module's learned state as bytes, for a successor process on the same machine.
//
// The bytes carry a format header, a digest of the class and kind names, the time of encoding and a checksum
// over all of it. Bytes that are truncated, of another format, of other settings or from after `now` are
// rejected as a whole, with a DecodeError. Memory: the bytes once more, at most kMaxBytes.
//
// Pure functions; any thread.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/settings.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::snapshot {

inline constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxEngines = 4096;  // those beyond are left out

struct RestoredState {
  policy::LearnedState state;
  policy::Duration age{};  // since it was encoded; 0 or more
};

enum class DecodeError {
  too_long,
  other_format,
  truncated,
  corrupt,         // the checksum does not match
  other_settings,  // other class or kind names, or another order of them
  other_clock,     // encoded at a time that is before the epoch or after now
};
// The cause, as the log words it.
[[nodiscard]] std::string_view to_string(DecodeError error);

// `now`: of a clock that all processes of the machine share.
[[nodiscard]] std::string encode(policy::LearnedState state, const config::RealSettings& names,
                                 policy::Time now);
[[nodiscard]] std::variant<RestoredState, DecodeError> decode(std::string_view bytes,
                                                              const config::RealSettings& names,
                                                              policy::Time now);

}  // namespace yokestream::snapshot
