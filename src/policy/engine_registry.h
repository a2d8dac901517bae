// The engines that the list has named, by name. Owns their records.
//
// Engines are replaced for good under new names, so one that is gone, runs nothing and was silent for long is
// forgotten; one that comes back soon is still known.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "engine.h"

namespace yokestream::policy {

class EngineRegistry {
 public:
  using Engines = std::map<std::string, Engine>;

  Engine* find(const std::string& name);
  const Engine* find(const std::string& name) const;
  // By the 16 bits that peers' messages name an engine by; where two have the same, the first one.
  Engine* find_by_hash(std::uint16_t hash);
  Engine& add(const std::string& name);
  // Engines that a whole list does not name are gone.
  void mark_gone_except(const std::set<std::string>& names);
  void forget_stale(Time now);

  Engines& all() { return engines_; }
  const Engines& all() const { return engines_; }

 private:
  Engines engines_;
  std::map<std::uint16_t, Engine*> by_hash_;
};

}  // namespace yokestream::policy
