#include "protocol/msgpack_rpc.h"

#include <algorithm>
#include <array>
#include <limits>

namespace yokestream::protocol {
namespace {

constexpr std::uint8_t kNil = 0xc0;
constexpr std::size_t kKeptBytes = 4 * 1024;  // of the buffer of a connection that waits

std::uint64_t big_endian(std::string_view bytes) {
  std::uint64_t n = 0;
  for (const char c : bytes) n = n << 8 | static_cast<std::uint8_t>(c);
  return n;
}

enum class Shape { scalar, text, binary, array, map };

// The head of one value: how long it is, how many bytes follow it and how many values lie inside.
struct Head {
  Shape shape = Shape::scalar;
  std::size_t bytes = 0;     // of the head itself
  std::uint64_t follow = 0;  // payload bytes, or elements of an array or map
  std::optional<std::uint64_t> natural;
  bool extension = false;
};

// nullopt: more bytes are needed to tell.
std::optional<Head> head_of(std::string_view in) {
  if (in.empty()) return std::nullopt;
  const auto first = static_cast<std::uint8_t>(in[0]);
  const auto sized = [&](Shape shape, std::size_t width) -> std::optional<Head> {
    if (in.size() < 1 + width) return std::nullopt;
    return Head{shape, 1 + width, big_endian(in.substr(1, width)), std::nullopt, false};
  };
  const auto number = [&](std::size_t width, bool is_signed) -> std::optional<Head> {
    if (in.size() < 1 + width) return std::nullopt;
    Head head{Shape::scalar, 1 + width, 0, big_endian(in.substr(1, width)), false};
    if (is_signed && *head.natural >> (8 * width - 1)) head.natural.reset();  // negative
    return head;
  };
  const auto extension = [&](std::size_t width) {
    auto head = sized(Shape::binary, width);
    if (head) ++head->follow, head->extension = true;  // its type
    return head;
  };
  if (first < 0x80) return Head{Shape::scalar, 1, 0, first, false};
  if (first < 0x90) return Head{Shape::map, 1, first & 0x0fu, std::nullopt, false};
  if (first < 0xa0) return Head{Shape::array, 1, first & 0x0fu, std::nullopt, false};
  if (first < 0xc0) return Head{Shape::text, 1, first & 0x1fu, std::nullopt, false};
  if (first >= 0xe0) return Head{Shape::scalar, 1, 0, std::nullopt, false};
  switch (first) {
    case kNil:
    case 0xc2:
    case 0xc3:
      return Head{Shape::scalar, 1, 0, std::nullopt, false};
    case 0xc4:
    case 0xc5:
    case 0xc6:
      return sized(Shape::binary, std::size_t{1} << (first - 0xc4));
    case 0xc7:
    case 0xc8:
    case 0xc9:
      return extension(std::size_t{1} << (first - 0xc7));
    case 0xca:
      return Head{Shape::scalar, 1, 4, std::nullopt, false};
    case 0xcb:
      return Head{Shape::scalar, 1, 8, std::nullopt, false};
    case 0xcc:
    case 0xcd:
    case 0xce:
    case 0xcf:
      return number(std::size_t{1} << (first - 0xcc), false);
    case 0xd0:
    case 0xd1:
    case 0xd2:
    case 0xd3:
      return number(std::size_t{1} << (first - 0xd0), true);
    case 0xd4:
    case 0xd5:
    case 0xd6:
    case 0xd7:
    case 0xd8:
      return Head{Shape::binary, 1, 1 + (std::uint64_t{1} << (first - 0xd4)), std::nullopt, true};
    case 0xd9:
    case 0xda:
    case 0xdb:
      return sized(Shape::text, std::size_t{1} << (first - 0xd9));
    case 0xdc:
    case 0xdd:
      return sized(Shape::array, first == 0xdc ? 2 : 4);
    case 0xde:
    case 0xdf:
      return sized(Shape::map, first == 0xde ? 2 : 4);
    default:
      throw ProtocolError("a byte that starts no value");
  }
}

// Reads the values of one whole message in turn.
class Cursor {
 public:
  explicit Cursor(std::string_view in) : in_(in) {}
  Head take() {
    const auto head = head_of(in_);
    if (!head) throw ProtocolError("a message that ends inside a value");
    in_.remove_prefix(head->bytes);
    return *head;
  }
  std::string_view payload(const Head& head) {
    const auto size = static_cast<std::size_t>(head.follow);
    const auto bytes = in_.substr(0, size);
    in_.remove_prefix(size);
    return bytes;
  }
  std::optional<std::string_view> text_or_binary() {
    const Head head = take();
    if ((head.shape != Shape::text && head.shape != Shape::binary) || head.extension) return std::nullopt;
    return payload(head);
  }

 private:
  std::string_view in_;
};

// Failure: a request has many fields that nobody knows. Symptom: decoded, it takes ten times the memory of
// its bytes. Guard: only the fields that are read are kept.
constexpr std::array<std::string_view, 7> kCallFields = {"req", "timeout", "owner", "ms",
                                                         "mb",  "resent",  "class"};

std::optional<Fields> read_fields(Cursor& in) {
  const Head map = in.take();
  if (map.shape != Shape::map) return std::nullopt;
  Fields fields;
  for (std::uint64_t i = 0; i < map.follow; ++i) {
    const auto key = in.text_or_binary();
    if (!key) return std::nullopt;
    const auto value = in.text_or_binary();
    if (!value) return std::nullopt;
    if (std::find(kCallFields.begin(), kCallFields.end(), *key) != kCallFields.end())
      fields.emplace(*key, *value);
  }
  return fields;
}

ClientMessage read_request(Cursor& in) {
  const auto id = in.take().natural;
  if (!id || *id > std::numeric_limits<std::uint32_t>::max()) throw ProtocolError("a request without an id");
  const auto method = in.text_or_binary();
  if (!method) return BadCall{*id, "the method is no text"};
  const Head parameters = in.take();
  if (*method == "probe") return Probe{*id};
  if (parameters.shape != Shape::array || parameters.follow != 2)
    return BadCall{*id, "the parameters are not fields and a body"};
  auto fields = read_fields(in);
  if (!fields) return BadCall{*id, "the fields are no map of strings"};
  const auto body = in.text_or_binary();
  if (!body) return BadCall{*id, "the body is not binary"};
  return Call{*id, std::string(*method), std::move(*fields), std::string(*body)};
}

ClientMessage read_notice(Cursor& in) {
  const auto method = in.text_or_binary();
  if (!method || *method != "giveUp") return OtherNotice{};
  const Head parameters = in.take();
  if (parameters.shape != Shape::array || parameters.follow < 1) return OtherNotice{};
  const auto id = in.take().natural;
  if (!id) return OtherNotice{};
  return CancelCall{*id};
}

ClientMessage read_message(std::string_view bytes) {
  Cursor in(bytes);
  const Head outer = in.take();
  if (outer.shape != Shape::array) throw ProtocolError("a message that is no array");
  const auto kind = outer.follow > 0 ? in.take().natural : std::nullopt;
  if (kind == 0u && outer.follow == 4) return read_request(in);
  if (kind == 2u && outer.follow == 3) return read_notice(in);
  throw ProtocolError("neither a request nor a notification");
}

void put_number(std::string& out, std::uint64_t n, std::size_t width) {
  while (width-- > 0) out += static_cast<char>(n >> (8 * width) & 255);
}
void put_natural(std::string& out, std::uint64_t n) {
  if (n < 0x80) return put_number(out, n, 1);
  const bool narrow = n <= std::numeric_limits<std::uint32_t>::max();
  out += static_cast<char>(narrow ? 0xce : 0xcf);
  put_number(out, n, narrow ? 4 : 8);
}
void put_text(std::string& out, std::string_view text) {
  if (text.size() < 32) {
    out += static_cast<char>(0xa0 | text.size());
  } else {
    out += static_cast<char>(0xdb);
    put_number(out, text.size(), 4);
  }
  out += text;
}
void put_binary(std::string& out, std::string_view bytes) {
  out += static_cast<char>(0xc6);
  put_number(out, bytes.size(), 4);
  out += bytes;
}
void put_fields(std::string& out, const Fields& fields) {
  out += static_cast<char>(0xde);
  put_number(out, fields.size(), 2);
  for (const auto& [name, value] : fields) put_text(out, name), put_text(out, value);
}
std::string response(std::uint64_t id) {
  std::string out{'\x94', '\x01'};
  put_natural(out, id);
  return out;
}

}  // namespace

MsgpackReader::MsgpackReader(Bounds bounds) : bounds_(bounds), open_{1} {}

bool MsgpackReader::scan() {
  while (!open_.empty()) {
    if (open_.back() == 0) {
      open_.pop_back();
      continue;
    }
    const auto head = head_of(std::string_view(buffer_).substr(scanned_));
    if (!head) return false;
    const bool nested = head->shape == Shape::array || head->shape == Shape::map;
    // Guards the memory of a reader: no length that a peer claims is believed before it is bounded.
    if (nested && (head->follow > bounds_.elements || open_.size() > bounds_.depth))
      throw ProtocolError("a message that is nested too deep or holds too many values");
    const std::uint64_t payload = nested ? 0 : head->follow;
    if (payload > bounds_.message_bytes || scanned_ + head->bytes + payload > bounds_.message_bytes)
      throw ProtocolError("a message that is too long");
    if (buffer_.size() < scanned_ + head->bytes + payload) return false;
    scanned_ += head->bytes + static_cast<std::size_t>(payload);
    --open_.back();
    if (nested) open_.push_back(static_cast<std::size_t>(head->follow) * (head->shape == Shape::map ? 2 : 1));
  }
  return true;
}

std::optional<ClientMessage> MsgpackReader::next() {
  if (!scan()) return std::nullopt;
  ClientMessage message = read_message(std::string_view(buffer_).substr(0, scanned_));
  buffer_.erase(0, scanned_);
  if (buffer_.empty() && buffer_.capacity() > kKeptBytes) buffer_.shrink_to_fit();
  scanned_ = 0;
  open_.assign(1, 1);
  return message;
}

std::string encode_result(std::uint64_t id, std::string_view body, const Fields& fields) {
  std::string out = response(id);
  out.reserve(out.size() + body.size() + 64);
  out += static_cast<char>(kNil);
  out += '\x92';
  put_binary(out, body);
  put_fields(out, fields);
  return out;
}

std::string encode_error(std::uint64_t id, std::string_view word, const Fields& fields) {
  std::string out = response(id);
  out += '\x92';
  put_text(out, word);
  put_fields(out, fields);
  out += static_cast<char>(kNil);
  return out;
}

std::string encode_probe_answer(std::uint64_t id, bool able) {
  std::string out = response(id);
  out += static_cast<char>(kNil);
  out += '\x92';
  out += static_cast<char>(able ? 0xc3 : 0xc2);
  put_fields(out, {});
  return out;
}

}  // namespace yokestream::protocol
