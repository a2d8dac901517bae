// Random settings of the decision module, for module_stream.cpp.
#pragma once

#include <random>

#include "yokestream/policy/settings.h"

namespace yokestream::golden {

policy::Settings random_settings(std::mt19937_64& random);

}  // namespace yokestream::golden
