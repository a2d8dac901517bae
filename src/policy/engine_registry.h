// Owns the records of the engines that the engine list has named, by name.
//
// Engines are replaced under new names, so the record of an engine that is gone, runs nothing and has not
// responded for a while is dropped. An engine that returns before that keeps its record.
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
  // By the 16-bit hash in messages from peers. If several engines share a hash, the first one added.
  Engine* find_by_hash(std::uint16_t hash);
  Engine& add(const std::string& name);
  // Marks the engines that a full list does not name as gone.
  void mark_gone_except(const std::set<std::string>& names);
  void forget_stale(Time now);

  Engines& all() { return engines_; }
  const Engines& all() const { return engines_; }

 private:
  Engines engines_;
  std::map<std::uint16_t, Engine*> by_hash_;
};

}  // namespace yokestream::policy
