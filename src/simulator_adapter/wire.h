// The users' wire: tab-separated lines of name=value pairs. Only translation happens here, no decision.
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

// Input that is not on the wire's terms. what() names the line and the field.
class WireError : public std::runtime_error {
 public:
  WireError(std::size_t line, std::string_view field, std::string_view problem);
};

// One line, split up. Values live as long as the text they were split from.
class Line {
 public:
  Line(std::size_t number, std::string_view text);
  std::size_t number() const { return number_; }
  std::string_view word() const { return word_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

  bool has(std::string_view name) const { return find(name) != nullptr; }
  std::string_view text(std::string_view name) const;  // throws when absent
  std::uint64_t natural(std::string_view name) const;
  std::uint64_t natural(std::string_view name, std::uint64_t when_absent) const;
  std::int64_t integer(std::string_view name) const;
  double number(std::string_view name, double when_absent) const;
  bool flag(std::string_view name) const;  // absent: false
  std::vector<double> row(std::string_view name) const;
  [[noreturn]] void fail(std::string_view field, std::string_view problem) const;

 private:
  const std::string_view* find(std::string_view name) const;
  std::size_t number_;
  std::string_view word_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

Settings decode_settings(const Line& begin);
EngineEntry decode_entry(const Line& item);
EngineList decode_list_head(const Line& members);  // all but the entries
Event decode_event(const Line& line);              // any event of one line; throws on an unknown word

std::string base64(std::string_view bytes);
std::string unbase64(const Line& line, std::string_view name);

void encode(const Action& action, std::uint64_t instance, std::string& out);

}  // namespace yokestream::simulator_adapter
