// The core a moment after its start.
#pragma once

#include "helper.h"

namespace yokestream::test {

struct Fixture : Core {
  Fixture() : Core(config::decode_config(config_text())) { pass(100ms); }
  long count(const std::string& words) const { return std::count(said.begin(), said.end(), words); }
};

}  // namespace yokestream::test
