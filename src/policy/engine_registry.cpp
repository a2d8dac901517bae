#include "engine_registry.h"

#include <algorithm>

#include "peer_messages.h"

namespace yokestream::policy {
namespace {

constexpr Duration kGoneEngineRetention = std::chrono::seconds(60);  // since its last response

bool is_stale(const Engine& engine, Time now) {
  return engine.entry.state == EngineState::removed && engine.own.queries.empty() &&
         now - std::max(engine.outlier.last_response, kLongAgo) > kGoneEngineRetention;
}

}  // namespace

Engine* EngineRegistry::find(const std::string& name) {
  const auto it = engines_.find(name);
  return it == engines_.end() ? nullptr : &it->second;
}

const Engine* EngineRegistry::find(const std::string& name) const {
  const auto it = engines_.find(name);
  return it == engines_.end() ? nullptr : &it->second;
}

Engine* EngineRegistry::find_by_hash(std::uint16_t hash) {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : it->second;
}

Engine& EngineRegistry::add(const std::string& name) {
  Engine& engine = engines_[name];
  by_hash_.emplace(engine_hash(name), &engine);
  return engine;
}

void EngineRegistry::mark_gone_except(const std::set<std::string>& names) {
  for (auto& [name, engine] : engines_)
    if (!names.count(name)) engine.entry.state = EngineState::removed;
}

void EngineRegistry::forget_stale(Time now) {
  std::erase_if(by_hash_, [&](const auto& known) { return is_stale(*known.second, now); });
  std::erase_if(engines_, [&](const auto& known) { return is_stale(known.second, now); });
}

}  // namespace yokestream::policy
