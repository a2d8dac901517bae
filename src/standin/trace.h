// The stream of events and actions of a played run, as lines of text: for the hashes of tests/golden.
//
// The words of a line are fixed here and do not follow the names of types, so that a renamed program gives
// the same lines.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "dispatch/ports.h"
#include "store/values.h"

namespace yokestream::standin {

using Trace = std::function<void(std::string_view line)>;  // empty: nothing is traced

// One event handed to a manager's core, with all its fields.
std::string describe(const dispatch::Event& event);
// One request to the store, one of its replies, one message of a watch.
std::string describe(const store::Request& request);
std::string describe(const store::Reply& reply);
std::string describe(const store::WatchResponse& message);

// A number with all its bits, in base 16.
std::string exact(double x);
// Nanoseconds since the clock's origin, or of a span.
inline std::string exact(policy::Time time) { return std::to_string(time.time_since_epoch().count()); }
inline std::string exact(policy::Duration span) { return std::to_string(span.count()); }

}  // namespace yokestream::standin
