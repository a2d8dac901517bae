#include "protocol/sse.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace yokestream::protocol {
namespace {

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace

std::string encode_subscription(std::string_view host, std::string_view path, std::uint64_t last_event) {
  std::string out = "GET ";
  out.append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: ");
  return out.append(std::to_string(last_event)).append("\r\n\r\n");
}

std::optional<std::string> SseReader::take_line(std::string& from) {
  const auto end = from.find('\n');
  if (end == std::string::npos) {
    if (from.size() > bounds_.line_bytes) throw ProtocolError("a line that does not end");
    return std::nullopt;
  }
  std::string line = from.substr(0, end);
  from.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}

void SseReader::header(const std::string& line) {
  if (++header_lines_ > bounds_.header_lines) throw ProtocolError("too many headers");
  const auto colon = line.find(':');
  if (colon == std::string::npos) throw ProtocolError("a header without a colon");
  const std::string name = lower(line.substr(0, colon));
  const std::string value = lower(line.substr(colon + 1));
  if (name == "transfer-encoding") chunked_ = value.find("chunked") != std::string::npos;
}

bool SseReader::step() {
  switch (phase_) {
    case Phase::status: {
      const auto line = take_line(raw_);
      if (!line) return false;
      if (line->rfind("HTTP/1.", 0) != 0 || line->size() < 12 || line->compare(8, 4, " 200") != 0)
        throw ProtocolError("a response that is no 200: " + line->substr(0, 60));
      phase_ = Phase::headers;
      return true;
    }
    case Phase::headers: {
      const auto line = take_line(raw_);
      if (!line) return false;
      if (line->empty())
        phase_ = chunked_ ? Phase::chunk_size : Phase::plain;
      else
        header(*line);
      return true;
    }
    case Phase::chunk_size: {
      const auto line = take_line(raw_);
      if (!line) return false;
      const std::string size = line->substr(0, line->find(';'));
      const auto [end, error] = std::from_chars(size.data(), size.data() + size.size(), chunk_left_, 16);
      if (error != std::errc() || end == size.data()) throw ProtocolError("a chunk without a size");
      phase_ = chunk_left_ == 0 ? Phase::ended : Phase::chunk;
      return true;
    }
    case Phase::chunk: {
      if (raw_.empty()) return false;
      const auto take = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, raw_.size()));
      text_.append(raw_, 0, take);
      raw_.erase(0, take);
      chunk_left_ -= take;
      if (chunk_left_ == 0) phase_ = Phase::chunk_end;
      return true;
    }
    case Phase::chunk_end: {
      const auto line = take_line(raw_);
      if (!line) return false;
      if (!line->empty()) throw ProtocolError("a chunk longer than told");
      phase_ = Phase::chunk_size;
      return true;
    }
    case Phase::plain:
      if (raw_.empty()) return false;
      text_.append(raw_);
      raw_.clear();
      return false;
    default:
      raw_.clear();
      return false;
  }
}

void SseReader::feed(std::string_view bytes) {
  raw_.append(bytes);
  while (step()) {
  }
}

std::optional<SseEvent> SseReader::next() {
  while (const auto line = take_line(text_)) {
    if (line->empty()) {
      const bool whole = std::exchange(has_data_, false);
      SseEvent event = std::exchange(event_, SseEvent{});
      if (whole) return event;
      continue;
    }
    if (line->front() == ':') continue;
    const auto colon = line->find(':');
    const std::string name = line->substr(0, colon);
    std::string value = colon == std::string::npos ? std::string() : line->substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.erase(0, 1);
    if (name == "id") event_.id = value;
    if (name != "data") continue;
    if (has_data_) event_.data += '\n';
    event_.data += value;
    has_data_ = true;
    if (event_.data.size() > bounds_.line_bytes) throw ProtocolError("an event that is too long");
  }
  return std::nullopt;
}

}  // namespace yokestream::protocol
