#include "peer_messages.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr std::size_t kEndedBytes = 4;
constexpr std::size_t kStartedBytes = 5;
constexpr std::size_t kStartedWithLockBytes = 7;
constexpr double kCodesPerFactorOfE = 20;
constexpr double kRemainingUnitsPerSecond = 10;
constexpr std::uint8_t kNoReport = 255;

std::uint8_t to_code(double value) {
  return static_cast<std::uint8_t>(
      std::clamp(std::round(kCodesPerFactorOfE * std::log1p(value)), 0.0, 255.0));
}
double from_code(std::uint8_t code) { return std::expm1(code / kCodesPerFactorOfE); }

std::uint8_t byte_at(const std::string& payload, std::size_t i) {
  return static_cast<std::uint8_t>(payload[i]);
}
std::uint16_t hash_at(const std::string& payload) {
  return static_cast<std::uint16_t>(byte_at(payload, 0) | byte_at(payload, 1) << 8);
}
void put_16_bits(std::string& payload, std::uint64_t value) {
  payload += static_cast<char>(value & 255);
  payload += static_cast<char>(value >> 8 & 255);
}

}  // namespace

std::uint16_t engine_hash(const std::string& name) {  // FNV-1a, folded to 16 bits
  std::uint32_t hash = 2166136261u;
  for (const char c : name) hash = (hash ^ static_cast<std::uint8_t>(c)) * 16777619u;
  return static_cast<std::uint16_t>(hash ^ hash >> 16);
}

std::string encode(const PeerQueryStarted& message) {
  std::string payload;
  put_16_bits(payload, message.engine_hash);
  payload += static_cast<char>(1 + message.class_index);
  payload += static_cast<char>(to_code(message.memory_mb));
  payload += static_cast<char>(to_code(message.remaining_s * kRemainingUnitsPerSecond));
  if (message.locked_tables) put_16_bits(payload, static_cast<std::uint64_t>(*message.locked_tables));
  return payload;
}

std::string encode(const PeerQueryEnded& message) {
  std::string payload;
  put_16_bits(payload, message.engine_hash);
  payload += '\0';
  const double report = message.reported_queries ? std::min(254.0, *message.reported_queries) : kNoReport;
  payload += static_cast<char>(static_cast<std::uint8_t>(report));
  return payload;
}

std::optional<PeerQueryStarted> decode_started(const std::string& payload, std::size_t classes) {
  const std::size_t size = payload.size();
  if (size != kStartedBytes && size != kStartedWithLockBytes) return std::nullopt;
  if (byte_at(payload, 2) == 0 || byte_at(payload, 2) > classes) return std::nullopt;
  PeerQueryStarted message;
  message.engine_hash = hash_at(payload);
  message.class_index = byte_at(payload, 2) - std::size_t{1};
  message.memory_mb = from_code(byte_at(payload, 3));
  message.remaining_s = from_code(byte_at(payload, 4)) / kRemainingUnitsPerSecond;
  if (size == kStartedWithLockBytes)
    message.locked_tables = TableGroupId{byte_at(payload, 5) | std::uint64_t{byte_at(payload, 6)} << 8};
  return message;
}

std::optional<PeerQueryEnded> decode_ended(const std::string& payload) {
  if (payload.size() != kEndedBytes || byte_at(payload, 2) != 0) return std::nullopt;
  PeerQueryEnded message;
  message.engine_hash = hash_at(payload);
  if (byte_at(payload, 3) < kNoReport) message.reported_queries = byte_at(payload, 3);
  return message;
}

}  // namespace yokestream::policy
