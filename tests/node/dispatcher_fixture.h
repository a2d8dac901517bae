// A dispatcher shortly after its start, when its first timers have fired.
#pragma once

#include "helper.h"

namespace yokestream::test {

struct DispatcherFixture : DispatcherHarness {
  DispatcherFixture() : DispatcherHarness(config::decode_config(config_text())) { advance(100ms); }
  long count(const std::string& call) const { return std::count(port_calls.begin(), port_calls.end(), call); }
};

}  // namespace yokestream::test
