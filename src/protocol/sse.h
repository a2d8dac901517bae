// The client's side of one HTTP/1.1 response that carries server-sent events. Knows no socket and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/error.h"

namespace yokestream::protocol {

std::string encode_subscription(std::string_view host, std::string_view path, std::uint64_t last_event);

struct SseEvent {
  std::string id;
  std::string data;
};

// Fed bytes as they come, in pieces of any size; yields events. Comments count as nothing but news that the
// connection lives, which its reader sees by the bytes.
class SseReader {
 public:
  struct Bounds {
    std::size_t line_bytes = 1024 * 1024;
    std::size_t header_lines = 100;
  };
  explicit SseReader(Bounds bounds) : bounds_(bounds) {}
  SseReader() : SseReader(Bounds{}) {}

  void feed(std::string_view bytes);  // throws ProtocolError
  std::optional<SseEvent> next();     // throws ProtocolError
  bool ended() const { return phase_ == Phase::ended; }

 private:
  enum class Phase { status, headers, chunk_size, chunk, chunk_end, plain, ended };
  std::optional<std::string> take_line(std::string& from);
  bool step();  // true: it got further
  void header(const std::string& line);

  Bounds bounds_;
  Phase phase_ = Phase::status;
  bool chunked_ = false;
  std::size_t header_lines_ = 0;
  std::uint64_t chunk_left_ = 0;
  std::string raw_;   // as it came
  std::string text_;  // the body, its chunks put together
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace yokestream::protocol
