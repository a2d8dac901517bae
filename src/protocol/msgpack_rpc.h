// MessagePack-RPC as clients speak it: requests and notifications in, responses out. Knows no socket and no
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/error.h"

namespace yokestream::protocol {

using Fields = std::map<std::string, std::string>;

struct Call {  // [0, id, method, [FIELDS, BODY]]
  std::uint64_t id = 0;
  std::string method;
  Fields fields;  // only those that a call may have; others are skipped
  std::string body;
};
struct CancelCall {  // [2, "giveUp", [id]]
  std::uint64_t id = 0;
};
struct Probe {  // [0, id, "probe", [FIELDS]]
  std::uint64_t id = 0;
};
struct BadCall {  // a well-formed request whose parameters are not those of a call
  std::uint64_t id = 0;
  std::string problem;
};
struct OtherNotice {};  // a notification that is not known here
using ClientMessage = std::variant<Call, CancelCall, Probe, BadCall, OtherNotice>;
// The id of a message that is owed a response; nullopt: it is a notification.
inline std::optional<std::uint64_t> call_id(const ClientMessage& message) {
  if (const auto* call = std::get_if<Call>(&message)) return call->id;
  if (const auto* bad = std::get_if<BadCall>(&message)) return bad->id;
  if (const auto* probe = std::get_if<Probe>(&message)) return probe->id;
  return std::nullopt;
}

// Fed bytes as they come, in pieces of any size; yields whole messages. Remembers how far it has looked, so
// no byte of a message is scanned twice for its end.
class MsgpackReader {
 public:
  struct Bounds {
    std::size_t message_bytes = 64 * 1024;
    std::size_t depth = 8;
    std::size_t elements = 256;  // of one array or map
  };
  explicit MsgpackReader(Bounds bounds);
  MsgpackReader() : MsgpackReader(Bounds{}) {}

  void feed(std::string_view bytes) { buffer_.append(bytes); }
  std::optional<ClientMessage> next();                    // throws ProtocolError
  std::size_t pending() const { return buffer_.size(); }  // bytes of a message that is not whole yet

 private:
  bool scan();  // true once a whole message lies in front
  Bounds bounds_;
  std::string buffer_;
  std::size_t scanned_ = 0;
  std::vector<std::size_t> open_;  // elements still missing, by level
};

std::string encode_result(std::uint64_t id, std::string_view body, const Fields& fields);
std::string encode_error(std::uint64_t id, std::string_view word, const Fields& fields);
std::string encode_probe_answer(std::uint64_t id, bool able);

}  // namespace yokestream::protocol
