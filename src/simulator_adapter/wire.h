// The simulator's line protocol: one message per line, as a word and tab-separated name=value pairs. This
// file translates only; it makes no decisions.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::simulator_adapter {

using policy::Action;
using policy::EngineEntry;
using policy::EngineList;
using policy::Event;
using policy::Settings;

// Input that violates the protocol. what() names the line and the field.
class WireError : public std::runtime_error {
 public:
  WireError(std::size_t line, std::string_view field, std::string_view problem);
};

// A line split into its word and pairs. All views refer to the text that was passed to the constructor.
class Line {
 public:
  Line(std::size_t line_number, std::string_view text);
  std::size_t line_number() const { return line_number_; }
  std::string_view word() const { return word_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

  bool has(std::string_view name) const { return find(name) != nullptr; }
  // The functions that return a value throw WireError if the field is missing or malformed, unless they have
  // a default.
  std::string_view text(std::string_view name) const;  // throws also if the value is empty
  std::uint64_t unsigned_integer(std::string_view name) const;
  std::uint64_t unsigned_integer(std::string_view name, std::uint64_t default_value) const;
  std::int64_t integer(std::string_view name) const;
  double number(std::string_view name, double default_value) const;
  bool flag(std::string_view name) const;                        // false if the field is missing
  std::vector<double> number_list(std::string_view name) const;  // empty if the field is missing
  [[noreturn]] void fail(std::string_view field, std::string_view cause) const;

 private:
  const std::string_view* find(std::string_view name) const;
  std::size_t line_number_;
  std::string_view word_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

Settings decode_settings(const Line& begin);
EngineEntry decode_entry(const Line& item);
EngineList decode_list_header(const Line& members);  // without the entries
Event decode_event(const Line& line);                // throws WireError for an unknown word

std::string encode_base64(std::string_view bytes);
std::string decode_base64(const Line& line, std::string_view name);

// Appends the action as a line to `out`.
void encode(const Action& action, std::uint64_t instance, std::string& out);

}  // namespace yokestream::simulator_adapter
