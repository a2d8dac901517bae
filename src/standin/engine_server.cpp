#include "standin/engine_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "net/listening_socket.h"
#include "standin/pool.h"

namespace yokestream::standin {
namespace {

constexpr std::size_t kMostCommand = 256 * 1024;
constexpr std::size_t kStack = 256 * 1024;

double figure(const std::string& statement, const std::string& name, double when_absent) {
  const auto at = statement.find(name + "=");
  return at == std::string::npos ? when_absent : std::atof(statement.c_str() + at + name.size() + 1);
}

}  // namespace

bool CommandReader::next(std::vector<std::string>& words) {
  if (buffer_.size() > kMostCommand) throw std::runtime_error("a command is too long");
  std::size_t at = 0;
  const auto number = [&](char mark) -> long {
    const auto end = buffer_.find("\r\n", at);
    if (end == std::string::npos) return -1;
    if (buffer_[at] != mark) throw std::runtime_error("no command");
    const long n = std::atol(buffer_.c_str() + at + 1);
    at = end + 2;
    return n;
  };
  if (buffer_.empty()) return false;
  const long count = number('*');
  if (count < 0) return false;
  words.clear();
  for (long i = 0; i < count; ++i) {
    if (at >= buffer_.size()) return false;
    const long size = number('$');
    if (size < 0 || buffer_.size() < at + static_cast<std::size_t>(size) + 2) return false;
    words.push_back(buffer_.substr(at, static_cast<std::size_t>(size)));
    at += static_cast<std::size_t>(size) + 2;
  }
  buffer_.erase(0, at);
  return true;
}

EngineServer::EngineServer(EngineSettings settings)
    : listener_(net::listen_on({"127.0.0.1", 0})),
      endpoint_(net::local_endpoint(listener_)),
      model_(settings, net::now(), false) {
  answerer_ = net::Thread("si-answer", kStack, [this] { answer_all(); });
  acceptor_ = net::Thread("si-accept", kStack, [this] { accept_all(); });
}

EngineServer::~EngineServer() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
    ::shutdown(listener_.get(), SHUT_RDWR);
    for (auto& connection : connections_) connection.socket.abort();
    news_.notify_all();
  }
  acceptor_.join();
  answerer_.join();
  connections_.clear();
}

std::uint64_t EngineServer::loads_run_twice() {
  const std::lock_guard lock(mutex_);
  std::uint64_t twice = 0;
  for (const auto& [id, times] : started_) twice += times > 1;
  return twice;
}

void EngineServer::accept_all() {
  while (true) {
    net::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    const std::lock_guard lock(mutex_);
    if (over_) return;
    if (!fd) continue;
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sweep();
    auto& connection = connections_.emplace_back(std::move(fd));
    connection.reader = net::Thread("si-read", kStack, [this, &connection] { read(connection); });
  }
}

void EngineServer::sweep() {
  for (auto it = connections_.begin(); it != connections_.end();)
    it = it->over ? connections_.erase(it) : std::next(it);
}

void EngineServer::read(Connection& connection) {
  CommandReader reader;
  std::array<char, 8192> bytes;
  std::vector<std::string> words;
  try {
    while (const auto size = connection.socket.read_until(bytes.data(), bytes.size(), Time::max())) {
      reader.feed({bytes.data(), size});
      while (reader.next(words)) obey(connection, words);
    }
  } catch (const std::exception&) {
    connection.socket.abort();
  }
  const std::lock_guard lock(mutex_);
  // Closing the connection gives up everything open on it.
  std::erase_if(runs_, [&](const auto& run) {
    if (run.second != &connection) return false;
    model_.stop(net::now(), run.first);
    return true;
  });
  connection.over = true;
}

void EngineServer::obey(Connection& connection, const std::vector<std::string>& words) {
  if (words.size() < 2) return;
  const std::string &what = words[0], &id = words[1];
  if (what == "HELO") return say(connection, {id, "green", "-", ""});
  std::unique_lock lock(mutex_);
  const Time now = net::now();
  if (what == "REQ" && words.size() >= 4) {
    Query query;
    query.id = id;
    query.work = figure(words[3], "work", 0.1);
    query.threads = figure(words[3], "threads", 1);
    query.memory = figure(words[3], "mb", 16);
    query.group = static_cast<std::uint32_t>(figure(words[3], "group", 0));
    const auto band = words[2].find("band=");
    query.band = band == std::string::npos ? 1 : static_cast<std::uint32_t>(words[2][band + 5] - '0');
    if (!model_.start(now, query)) {
      lock.unlock();
      return say(connection, {id, "overload", "-", ""});
    }
    if (words[3].find("load") != std::string::npos) ++started_[id];
    runs_[id] = &connection;
    news_.notify_all();
  } else if (what == "STOP") {
    model_.stop(now, id);
    runs_.erase(id);
  } else if (what == "NICE" && words.size() >= 3) {
    model_.nice(now, id, static_cast<std::uint32_t>(std::atoi(words[2].c_str())));
    news_.notify_all();
  }
}

void EngineServer::say(Connection& connection, const std::vector<std::string>& words) {
  std::string out = numbered("*", words.size()) + "\r\n";
  for (const auto& word : words) out += numbered("$", word.size()) + "\r\n" + word + "\r\n";
  const std::lock_guard lock(connection.writing);
  connection.socket.write(out);
}

void EngineServer::answer_all() {
  std::unique_lock lock(mutex_);
  while (!over_) {
    const Time now = net::now();
    for (const auto& ended : model_.advance(now)) {
      const auto it = runs_.find(ended.id);
      if (it == runs_.end()) continue;
      Connection& connection = *it->second;
      runs_.erase(it);
      char fields[160];
      std::snprintf(fields, sizeof fields,
                    "total=1,elapsed=%.3f,rss=%.0f,report=queue:%zu;inflight:%zu;x0:%.3f", ended.work * 1000,
                    ended.memory, model_.queued(), model_.running(), model_.granted());
      say(connection, {ended.id, "served", fields, "a\tb\tc\n"});
    }
    const auto next = model_.next_end(now);
    if (next)
      news_.wait_until(lock, net::to_steady(*next));
    else
      news_.wait(lock);
  }
}

}  // namespace yokestream::standin
