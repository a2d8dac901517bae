#include "net/hand_over.h"

#include <cstdio>
#include <fstream>
#include <system_error>

namespace yokestream::net {
namespace {

constexpr const char* kFile = "/yokestream-learnt";
// Weights of an hour ago are still better than none; by then engines have been replaced.
constexpr Duration kOldest = std::chrono::hours(1);

}  // namespace

std::optional<learnt::Inherited> HandOver::read(const std::string& folder, const config::RealSettings& names,
                                                manager::Log& log) {
  std::ifstream in(folder + kFile, std::ios::binary);
  if (!in) return std::nullopt;
  std::string bytes(learnt::kMostBytes + 1, '\0');
  in.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(in.gcount()));
  auto read = learnt::decode(bytes, names, now());
  if (const auto* why = std::get_if<std::string>(&read)) {
    log.note("what another process learnt is not taken over: " + *why);
    return std::nullopt;
  }
  auto& inherited = std::get<learnt::Inherited>(read);
  if (inherited.age > kOldest) return std::nullopt;
  return std::move(inherited);
}

HandOver::HandOver(const std::string& folder, int place, const config::RealSettings& names)
    : path_(folder + kFile), own_(path_ + "-" + std::to_string(place)), names_(names), items_(1) {
  thread_ = Thread("hand-over", kSmallStack, [this] {
    while (auto item = items_.take()) write(std::move(*item));
  });
}

HandOver::~HandOver() { items_.close(); }

void HandOver::offer(lynxstand::Learnt learnt) { items_.add(Item{std::move(learnt), now()}, 1); }

// One that can't be written is left: the next one will do.
void HandOver::write(Item item) const {
  const std::string bytes = learnt::encode(std::move(item.learnt), names_, item.at);
  std::ofstream out(own_, std::ios::binary | std::ios::trunc);
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  out.close();
  if (out) std::rename(own_.c_str(), path_.c_str());
}

}  // namespace yokestream::net
