// The operators' door on the wire: one line a connection, answered by `SUCCESS` or `FAILURE` and what
// follows. A state machine fed bytes; it never waits. Memory: one line of kLongest bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace yokestream::protocol {

// The commands that the admin listener accepts.
enum class ManagementWord { readyz, telemetry, evacuate, activate };
struct BadManagementCall {
  std::string problem;
};
using ManagementCall = std::variant<ManagementWord, BadManagementCall>;

class ManagementReader {
 public:
  static constexpr std::size_t kLongest = 128;  // bytes of a line; a longer one is a bad call

  void feed(std::string_view bytes);           // what follows the first line is dropped
  void end();                                  // no more will come: what has come is the line
  std::optional<ManagementCall> call() const;  // once the line is whole, or too long to become one

 private:
  std::string line_;
  bool whole_ = false;
};

std::string encode_success(std::string_view body = {});  // `body`: further lines, each with its end
std::string encode_failure(std::string_view reason);     // a text without line ends

}  // namespace yokestream::protocol
