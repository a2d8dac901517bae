#include "protocol/resp.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace yokestream::protocol {
namespace {

using std::string;
using std::string_view;

string array_of(std::initializer_list<string_view> parts) {
  string out;
  out.append("*").append(std::to_string(parts.size())).append("\r\n");
  for (const auto part : parts) {
    out.append("$").append(std::to_string(part.size())).append("\r\n").append(part).append("\r\n");
  }
  return out;
}

template <class Number>
std::optional<Number> parse(string_view text) {
  Number n{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return n;
}
std::optional<double> parse_real(string_view text) {
  const auto n = parse<double>(text);
  return n && std::isfinite(*n) ? n : std::nullopt;
}

// Calls `take(name, value)` for each name<mark>value of a list.
template <class Take>
void each_pair(string_view list, char between, char mark, Take take) {
  while (!list.empty()) {
    const auto end = list.find(between);
    const string_view pair = list.substr(0, end);
    list.remove_prefix(end == string_view::npos ? list.size() : end + 1);
    const auto at = pair.find(mark);
    if (at != string_view::npos) take(pair.substr(0, at), pair.substr(at + 1));
  }
}

ResponseType word_of(string_view text) {
  constexpr std::array<std::pair<string_view, ResponseType>, 7> words{
      {{"served", ResponseType::result},
       {"overload", ResponseType::overloaded},
       {"crashed", ResponseType::failed},
       {"nobody", ResponseType::unknown_query},
       {"update", ResponseType::progress},
       {"rows", ResponseType::page},
       {"green", ResponseType::pong}}};
  for (const auto& [word, meaning] : words) {
    if (word == text) return meaning;
  }
  throw ProtocolError("an answer with an unknown word");
}

ProgressType remark_of(string_view text) {
  if (text == "progress") return ProgressType::progress;
  if (text == "spill_mb") return ProgressType::spilling;
  if (text == "blocked") return ProgressType::blocked;
  return ProgressType::none;
}

// Guards what is learned from answers: a figure that no engine can mean is as good as none.
constexpr double kMostElapsedMs = 1e8;
constexpr double kMostMemoryMb = 1e8;
constexpr double kMostReported = 1e5;
std::optional<double> plausible(double figure, double most) {
  return figure >= 0 && figure <= most ? std::optional(figure) : std::nullopt;
}

template <class Number>
Number required(string_view name, const std::optional<Number>& value) {
  if (!value) throw ProtocolError("an answer whose field " + string(name) + " is no number");
  return *value;
}

}  // namespace

string encode_request(const EngineRequest& request, policy::Time now) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count();
  string fields =
      "profile=" + request.query_class + ",max=" + std::to_string(std::max<std::int64_t>(1, left));
  if (request.priority != 1) fields += ",band=" + std::to_string(request.priority);
  return array_of({"REQ", request.id, fields, request.statement});
}
string encode_stop(string_view id) { return array_of({"STOP", id}); }
string encode_hello(string_view tag) { return array_of({"HELO", tag}); }
string encode_nice(string_view id, std::uint32_t band) {
  return array_of({"NICE", id, std::to_string(band)});
}
string encode_fetch(string_view id, std::uint32_t page) {
  return array_of({"FETCH", id, std::to_string(page)});
}
string encode_end(string_view id) { return array_of({"END", id}); }

RespReader::RespReader(std::vector<string> report_fields, Bounds bounds)
    : report_fields_(std::move(report_fields)), bounds_(bounds) {}

// A line of a mark and a number; nullopt while it is not whole.
std::optional<std::uint64_t> RespReader::number(char mark) {
  const string_view rest = string_view(buffer_).substr(at_);
  if (rest.empty()) return std::nullopt;
  if (rest[0] != mark) throw ProtocolError(string("expected '") + mark + "'");
  const auto end = rest.find('\n');
  if (end == string_view::npos) {
    if (rest.size() > bounds_.number_bytes) throw ProtocolError("a length that does not end");
    return std::nullopt;
  }
  if (end < 2 || rest[end - 1] != '\r') throw ProtocolError("a length that is no line");
  const auto n = parse<std::uint64_t>(rest.substr(1, end - 2));
  if (!n) throw ProtocolError("a length that is no number");
  at_ += end + 1;
  return n;
}

bool RespReader::scan() {
  if (!missing_) {
    const auto count = number('*');
    if (!count) return false;
    if (*count < 2 || *count > bounds_.parts) throw ProtocolError("an answer of too few or too many parts");
    missing_ = static_cast<std::size_t>(*count);
  }
  while (*missing_ > 0) {
    if (!text_) {
      const auto length = number('$');
      if (!length) return false;
      if (*length > bounds_.text_bytes) throw ProtocolError("a text that is too long");
      text_ = static_cast<std::size_t>(*length);
    }
    if (buffer_.size() < at_ + *text_ + 2) return false;
    if (buffer_.compare(at_ + *text_, 2, "\r\n") != 0) throw ProtocolError("a text longer than told");
    parts_.emplace_back(at_, *text_);
    at_ += *text_ + 2;
    text_.reset();
    --*missing_;
  }
  return true;
}

EngineResponse RespReader::decode() {
  const auto part = [&](std::size_t i) {
    return i < parts_.size() ? string_view(buffer_).substr(parts_[i].first, parts_[i].second) : string_view();
  };
  EngineResponse answer;
  answer.id = part(0);
  answer.type = word_of(part(1));
  answer.body = part(3);
  each_pair(part(2), ',', '=', [&](string_view name, string_view value) {
    if (name == "total") answer.page_count = required(name, parse<std::uint32_t>(value));
    if (name == "index") answer.page_index = required(name, parse<std::uint32_t>(value));
    if (name == "remark") answer.progress = remark_of(value);
    if (name == "datum") answer.progress_value = required(name, parse_real(value));
    if (name == "elapsed") answer.work_ms = plausible(required(name, parse_real(value)), kMostElapsedMs);
    if (name == "rss")
      answer.memory_mb = plausible(required(name, parse_real(value)), kMostMemoryMb).value_or(0);
    if (name != "report") return;
    answer.load_report.assign(report_fields_.size(), -1.0);
    each_pair(value, ';', ':', [&](string_view field, string_view figure) {
      for (std::size_t i = 0; i < report_fields_.size(); ++i) {
        if (report_fields_[i] == field)
          answer.load_report[i] = plausible(required(field, parse_real(figure)), kMostReported).value_or(-1);
      }
    });
  });
  return answer;
}

std::optional<EngineResponse> RespReader::next() {
  if (!scan()) return std::nullopt;
  EngineResponse answer = decode();
  buffer_.erase(0, at_);
  at_ = 0;
  missing_.reset();
  parts_.clear();
  return answer;
}

}  // namespace yokestream::protocol
