// What a decision module has learnt as bytes, for a process that takes over on the same machine.
//
// Checked when read: a mark of the form, the names of classes and kinds, a checksum over all. Bytes that are
// cut short, of another form, of other settings or from after `now` say so and give nothing. Pure; any
// thread. Memory: the bytes once more, at most kMostBytes.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/settings.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::snapshot {

inline constexpr std::size_t kMostBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMostEngines = 4096;  // those beyond are left out

struct RestoredState {
  policy::LearnedState state;
  policy::Duration age{};
};

// `now` is of a clock that all processes of the machine share.
std::string encode(policy::LearnedState learnt, const config::RealSettings& names, policy::Time now);
// Else: what is wrong with the bytes.
std::variant<RestoredState, std::string> decode(std::string_view bytes, const config::RealSettings& names,
                                                policy::Time now);

}  // namespace yokestream::snapshot
