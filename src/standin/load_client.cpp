#include "standin/load_client.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>
#include <stdexcept>
#include <vector>

#include "net/socket.h"
#include "standin/pool.h"

namespace yokestream::standin {
namespace {

constexpr std::size_t kMostConnections = 400;  // of one load
constexpr Duration kOwnWait = std::chrono::milliseconds(500);

void put_text(std::string& out, const std::string& text) {
  if (text.size() < 32) {
    out += static_cast<char>(0xa0 | text.size());
  } else {
    out += '\xd9';
    out += static_cast<char>(text.size());
  }
  out += text;
}

// The end of the value at `at`, npos: not whole.
std::size_t skip(std::string_view b, std::size_t at, std::uint64_t* number = nullptr,
                 std::string* text = nullptr) {
  constexpr auto npos = std::string_view::npos;
  if (at >= b.size()) return npos;
  const auto byte = static_cast<unsigned char>(b[at++]);
  const auto big = [&](std::size_t bytes) -> std::uint64_t {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < bytes; ++i) n = n << 8 | static_cast<unsigned char>(b[at + i]);
    return n;
  };
  const auto raw = [&](std::uint64_t size) {
    if (b.size() - at < size) return npos;
    if (text) *text = std::string(b.substr(at, size));
    return at + static_cast<std::size_t>(size);
  };
  const auto many = [&](std::uint64_t values) {
    for (; values > 0 && at != npos; --values) at = skip(b, at);
    return at;
  };
  if (byte < 0x80) {
    if (number) *number = byte;
    return at;
  }
  if (byte < 0x90) return many(2 * (byte & 0x0f));
  if (byte < 0xa0) return many(byte & 0x0f);
  if (byte < 0xc0) return raw(byte & 0x1f);
  if (byte == 0xc0 || byte == 0xc2 || byte == 0xc3 || byte >= 0xe0) return at;
  std::size_t width = 0;
  switch (byte) {
    case 0xcc:
    case 0xd9:
    case 0xc4:
      width = 1;
      break;
    case 0xcd:
    case 0xda:
    case 0xc5:
    case 0xdc:
    case 0xde:
      width = 2;
      break;
    case 0xce:
    case 0xdb:
    case 0xc6:
    case 0xdd:
    case 0xdf:
      width = 4;
      break;
    case 0xcf:
      width = 8;
      break;
    default:
      throw std::runtime_error("no answer");
  }
  if (b.size() - at < width) return npos;
  const std::uint64_t n = big(width);
  at += width;
  if (byte >= 0xcc && byte <= 0xcf) {
    if (number) *number = n;
    return at;
  }
  if (byte == 0xdc || byte == 0xdd) return many(n);
  if (byte == 0xde || byte == 0xdf) return many(2 * n);
  return raw(n);
}

}  // namespace

bool take_reply(std::string& bytes, Reply& reply) {
  constexpr auto npos = std::string_view::npos;
  if (bytes.empty()) return false;
  const std::size_t end = skip(bytes, 0);
  if (end == npos) return false;
  if (bytes[0] != '\x94') throw std::runtime_error("no answer");
  std::uint64_t kind = 0;
  std::size_t at = skip(bytes, 1, &kind);
  reply = {};
  at = skip(bytes, at, &reply.id);
  const std::size_t error = at;
  reply.served = bytes[error] == '\xc0';
  const auto whole = std::string_view(bytes).substr(error, end - error);
  reply.refused = whole.find("Shed") != npos;
  if (const auto hint = whole.find("holdoff"); hint != npos) {
    std::string text;
    skip(whole, hint + 7, nullptr, &text);
    reply.holdoff_ms = std::strtoull(text.c_str(), nullptr, 10);
  }
  bytes.erase(0, end);
  if (kind != 1) throw std::runtime_error("no answer");
  return true;
}

std::string encode_call(std::uint64_t id, const std::string& cls,
                        const std::map<std::string, std::string>& fields, const std::string& statement) {
  std::string out("\x94\x00", 2);
  out += '\xce';
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(id >> shift & 0xff);
  put_text(out, cls);
  out += '\x92';
  out += static_cast<char>(0x80 | fields.size());
  for (const auto& [name, value] : fields) put_text(out, name), put_text(out, value);
  out += '\xc4';
  out += static_cast<char>(statement.size());
  return out + statement;
}

struct LoadClient::State {
  struct Try {
    double work = 0;
    int number = 1;
    Time first{};
    std::uint64_t client = 0;
    bool at_hint = false;
  };
  struct Connection {
    std::unique_ptr<net::Socket> socket;
    std::uint64_t client = 0, last = 0;
    std::string came;
    std::map<std::uint64_t, std::pair<Try, Time>> open;  // by call: until when
  };
  struct Due {
    Time time;
    Try what;
    bool operator>(const Due& other) const { return time > other.time; }
  };
  std::vector<Connection> connections;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> again;
};

LoadClient::LoadClient(config::Endpoint manager, Load load, std::size_t index, std::uint64_t seed)
    : manager_(std::move(manager)), load_(load), index_(index), seed_(seed) {
  thread_ = net::Thread("si-load", 512 * 1024, [this] { run(); });
}
LoadClient::~LoadClient() { thread_.join(); }

Service LoadClient::wait() {
  thread_.join();
  return service_;
}

void LoadClient::run() {
  std::mt19937_64 random(seed_);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto draw = [&] { return uniform(random); };
  State state;
  const Time start = net::now(), from = start + load_.from, until = start + load_.until;
  const auto gap = [&] {
    return Duration(static_cast<Duration::rep>(-std::log(1 - draw()) / load_.per_s * 1e9));
  };
  Time next = from + gap();
  std::uint64_t last_id = 0;

  const auto over = [&](State::Try t, const Reply* reply) {
    const double took = std::chrono::duration<double>(net::now() - t.first).count();
    if (!reply) {
      ++service_.unanswered;
    } else if (reply->served) {
      ++service_.served;
      service_.hinted_in += t.at_hint;
      service_.in_time += took <= kAimOf[load_.cls] + kStretchOf[load_.cls] * t.work / kThreadsOf[load_.cls];
      service_.worst_seconds = std::max(service_.worst_seconds, took);
    } else if (!reply->refused) {
      ++service_.failed;
    } else {
      ++service_.refused;
      if (load_.retry == Retry::never || t.number >= load_.most_tries) return;
      const Duration hint = std::chrono::milliseconds(reply->holdoff_ms);
      ++t.number;
      t.at_hint = load_.retry == Retry::at_hint && hint > Duration{};
      const Duration wait = load_.retry == Retry::at_once ? std::chrono::milliseconds(1)
                            : t.at_hint                   ? hint
                                                          : kOwnWait;
      state.again.push({net::now() + wait, t});
    }
  };
  // A connection of this client, with room; nullptr: none can be opened.
  const auto connection_of = [&](std::uint64_t client) -> State::Connection* {
    if (!load_.new_connections) {
      for (auto& c : state.connections) {
        if (c.client == client && c.open.size() < 32) return &c;
      }
    }
    if (state.connections.size() >= kMostConnections) return nullptr;
    net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(0x7f0a0000u + (static_cast<std::uint32_t>(index_) << 16) +
                               static_cast<std::uint32_t>(client % 65'000) + 1);
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return nullptr;
    at.sin_port = htons(manager_.port);
    inet_pton(AF_INET, manager_.host.c_str(), &at.sin_addr);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return nullptr;
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    State::Connection c;
    c.socket = std::make_unique<net::Socket>(std::move(fd));
    c.client = client;
    return &state.connections.emplace_back(std::move(c));
  };
  const auto send = [&](State::Try t) {
    ++service_.tries;
    service_.hinted_back += t.at_hint;
    State::Connection* c = connection_of(t.client);
    if (!c) return over(t, nullptr);
    char id[17], number[32], statement[120];
    std::snprintf(id, sizeof id, "%02zx%06llx%08llx", index_,
                  static_cast<unsigned long long>(seed_ & 0xffffff),
                  static_cast<unsigned long long>(++last_id));
    std::snprintf(number, sizeof number, "%.3f", t.work * load_.told_times * 1000);
    std::snprintf(statement, sizeof statement,
                  "select %s from x.t_%d work=%.4f threads=%.0f mb=%.0f group=%d", kClassNames[load_.cls],
                  static_cast<int>(draw() * 8), t.work, kThreadsOf[load_.cls], load_.memory,
                  static_cast<int>(draw() * 8));
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(load_.patience).count();
    const std::uint64_t call = ++c->last;
    const std::string bytes = encode_call(call, kClassNames[load_.cls],
                                          {{"req", id},
                                           {"timeout", std::to_string(patience)},
                                           {"owner", kMemberNames[load_.member]},
                                           {"ms", number},
                                           {"mb", std::to_string(static_cast<int>(load_.memory))}},
                                          statement);
    if (c->socket->try_write(bytes) != bytes.size()) return over(t, nullptr);
    c->open.emplace(call, std::pair(t, net::now() + load_.patience + std::chrono::milliseconds(200)));
  };

  std::vector<pollfd> polled;
  std::array<char, 8192> bytes;
  while (true) {
    const Time now = net::now();
    while (next <= std::min(now, until)) {
      State::Try t;
      t.first = next;  // when it was meant to be sent
      t.work = load_.work * std::min(kMostWork, -std::log(1 - draw())) + 1e-3;
      t.client = static_cast<std::uint64_t>(draw() * static_cast<double>(load_.clients));
      ++service_.first;
      send(t);
      next += gap();
    }
    while (!state.again.empty() && state.again.top().time <= now) {
      const auto t = state.again.top().what;
      state.again.pop();
      send(t);
    }
    bool any = false;
    polled.clear();
    for (auto& c : state.connections) {
      polled.push_back({c.socket->descriptor(), POLLIN, 0});
      any = any || !c.open.empty();
    }
    if (now >= until && !any && state.again.empty()) return;
    const Time wake = std::min({next <= until ? next : Time::max(), now + std::chrono::milliseconds(20),
                                state.again.empty() ? Time::max() : state.again.top().time});
    const auto left = std::max<std::int64_t>(0, (wake - now).count());
    const timespec timeout{static_cast<time_t>(left / 1'000'000'000),
                           static_cast<long>(left % 1'000'000'000)};
    ::ppoll(polled.data(), polled.size(), &timeout, nullptr);
    for (std::size_t i = polled.size(); i-- > 0;) {
      State::Connection& c = state.connections[i];
      bool ended = false;
      if (polled[i].revents != 0) {
        const auto size = c.socket->try_read(bytes.data(), bytes.size());
        ended = size == 0;
        if (size) c.came.append(bytes.data(), *size);
        Reply reply;
        while (take_reply(c.came, reply)) {
          const auto it = c.open.find(reply.id);
          if (it == c.open.end()) {
            ++service_.answers_twice;
            continue;
          }
          const State::Try t = it->second.first;
          c.open.erase(it);
          over(t, &reply);
        }
      }
      std::erase_if(c.open, [&](const auto& open) {
        if (!ended && now < open.second.second) return false;
        over(open.second.first, nullptr);
        return true;
      });
      if (ended || (load_.new_connections && c.open.empty())) {
        if (i + 1 != state.connections.size()) std::swap(c, state.connections.back());
        state.connections.pop_back();
      }
    }
  }
}

}  // namespace yokestream::standin
