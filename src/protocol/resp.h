// RESP as engines speak it: arrays of bulk strings, both ways. Knows no socket and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/engine_messages.h"
#include "protocol/error.h"

namespace yokestream::protocol {

// `now` turns the deadline that travels with the request into the time that is left.
std::string encode_request(const EngineRequest& request, policy::Time now);
std::string encode_stop(std::string_view id);
std::string encode_hello(std::string_view tag);
std::string encode_nice(std::string_view id, std::uint32_t band);
std::string encode_fetch(std::string_view id, std::uint32_t page);
std::string encode_end(std::string_view id);

// Fed bytes as they come, in pieces of any size; yields whole answers.
class RespReader {
 public:
  struct Bounds {
    std::size_t text_bytes = 6000;  // a page; all else is shorter
    std::size_t parts = 4;
    std::size_t number_bytes = 20;
  };
  RespReader(std::vector<std::string> report_fields, Bounds bounds);
  explicit RespReader(std::vector<std::string> report_fields)
      : RespReader(std::move(report_fields), Bounds{}) {}

  void feed(std::string_view bytes) { buffer_.append(bytes); }
  std::optional<EngineResponse> next();                   // throws ProtocolError
  std::size_t pending() const { return buffer_.size(); }  // bytes of an answer that is not whole yet

 private:
  bool scan();
  std::optional<std::uint64_t> number(char mark);
  EngineResponse decode();

  std::vector<std::string> report_fields_;
  Bounds bounds_;
  std::string buffer_;
  std::size_t at_ = 0;                  // how far the message in front is scanned
  std::optional<std::size_t> missing_;  // parts still to come; none: the head is still to come
  std::optional<std::size_t> text_;     // length of the bulk string that is being read
  std::vector<std::pair<std::size_t, std::size_t>> parts_;  // where each lies, and its length
};

}  // namespace yokestream::protocol
