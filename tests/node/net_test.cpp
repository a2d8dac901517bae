// The drivers on loopback: everything waits for what must come, nothing for a time.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "helper.h"
#include "net/pace.h"
#include "net/server.h"

namespace yokestream::test {
namespace {

using net::Fd;
using net::Socket;

// The other end of a connection.
struct Peer {
  explicit Peer(Fd fd) : socket(std::move(fd)) {}
  explicit Peer(const config::Endpoint& to) {
    std::string why;
    REQUIRE(socket.connect(to, Time::max(), &why));
  }
  // Reads until `what` has come; false: the connection ended first.
  bool until(const std::string& what) {
    char bytes[512];
    for (std::size_t size = 1; size > 0; came.append(bytes, size)) {
      if (const auto at = came.find(what); at != std::string::npos)
        return came.erase(0, at + what.size()), true;
      size = socket.read_until(bytes, sizeof bytes, Time::max());
    }
    return false;
  }
  void say(const std::string& bytes) { CHECK(socket.write(bytes) == Socket::Written::all); }
  Socket socket;
  std::string came;
};

struct Listening {
  Fd fd = net::listen_on({"127.0.0.1", 0});
  config::Endpoint at = net::local_endpoint(fd);
  Peer accept() { return Peer(Fd(::accept(fd.get(), nullptr, nullptr))); }
};

struct Quiet : manager::Log {
  void note(std::string_view) override {}
};

std::string event(int number, const std::string& uid, const config::Endpoint& at) {
  return "id: " + std::to_string(number) + "\ndata: {\"n\":" + std::to_string(number) +
         R"(,"members":{"all":false,"targets":[{"uid":")" + uid + R"(","endpoint":")" + to_string(at) +
         R"(","az":"z","model":"m","state":"up"}]}})" + "\n\n";
}

std::string call(int number, const std::string& id, const std::string& statement) {
  const auto text = [](const std::string& t) { return static_cast<char>(0xa0 | t.size()) + t; };
  std::string out{'\x94', '\x00', static_cast<char>(number)};
  out += text("look") + "\x92\x83" + text("req") + text(id) + text("timeout") + text("4000") + text("owner") +
         text("acme");
  return out + '\xc4' + static_cast<char>(statement.size()) + statement;
}

struct Running {
  explicit Running(const config::Endpoint& engine, const config::Endpoint* feed = nullptr)
      : config(config::decode_config(config_text("127.0.0.1:0", to_string(engine)))) {
    if (feed) config.feed = *feed;
    server.emplace(config, log);
  }
  ~Running() {
    server->leave();
    server->wait();
  }
  config::Config config;
  Quiet log;
  std::optional<net::Server> server;
};

TEST_CASE("a request goes to the engine and its rows come back; one the engines can't use does not") {
  Listening engine;
  Running running(engine.at);
  Peer client(running.server->endpoint());
  client.say(call(1, "0123456789abcdef", "select 1"));
  Peer link = engine.accept();
  REQUIRE(link.until("select 1"));
  link.say("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.until("a\tb\tc\n"));
  client.say(call(2, "0123456789abcde0", std::string("select\0", 7)));
  CHECK(client.until("no text"));
}

TEST_CASE("a client whose message is too long or no message is closed, and no other") {
  Listening engine;
  Running running(engine.at);
  Peer other(running.server->endpoint());
  for (const std::string bytes : {"\x05", "\x94\xc6\x7f\xff\xff\xff", "\x93\x02\xa4what\x90"}) {
    Peer bad(running.server->endpoint());
    bad.say(bytes);
    CHECK_FALSE(bad.until("anything"));
  }
  other.say(std::string("\x94\x00\x07\xa5probe\x91\x80", 11));
  CHECK(other.until("\xc3"));
}

TEST_CASE("a client of which something has come is not closed as idle, be it unread, half read or waiting") {
  const auto config = config::decode_config(config_text());
  Quiet log;
  net::Inbox inbox(10);
  manager::Budget budget(1 << 20);
  Listening listening;
  Peer client(listening.at);
  Fd fd(::accept(listening.fd.get(), nullptr, nullptr));
  client.say(call(1, "0123456789abcdef", "select 1") + "\x94");  // and the start of a next one
  char first = 0;
  REQUIRE(::recv(fd.get(), &first, 1, MSG_PEEK) == 1);
  net::ClientSession session(manager::SessionId{1}, std::move(fd), {}, config.real, budget, inbox, log);
  CHECK_FALSE(session.break_off_idle());  // unread: nobody reads yet
  session.start();
  CHECK(inbox.take_until(Time::max()).size() == 1);
  CHECK_FALSE(session.break_off_idle());  // handed in, and not taken yet
  session.taken();
  CHECK_FALSE(session.break_off_idle());  // half read
}

TEST_CASE("a new configuration moves the feed's follower, and the numbers carry on") {
  Listening engine, old_feed, new_feed;
  Running running(engine.at, &old_feed.at);
  Peer first = old_feed.accept();
  REQUIRE(first.until("Last-Event-ID: 1\r\n"));
  first.say("HTTP/1.1 200 OK\r\n\r\n" + event(2, "e2", engine.at) + event(2, "e2", engine.at));
  auto changed = running.config;
  changed.feed = new_feed.at;
  running.server->reload(changed);
  Peer second = new_feed.accept();
  REQUIRE(second.until("Last-Event-ID: "));
  CHECK(second.until("\r\n\r\n"));
  CHECK_FALSE(first.until("anything"));
}

TEST_CASE("the program lives on after SIGHUP, with a good new file or a bad one, and ends well on SIGTERM") {
  char folder[] = "/tmp/yokestream-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/config.json";
  std::ofstream(path) << config_text();
  int out[2];
  REQUIRE(::pipe(out) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(out[1], 2);
    ::execl(YOKESTREAM_PROGRAM, "yokestream", "serve", "-c", path.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(out[1]);
  std::FILE* notes = ::fdopen(out[0], "r");
  const auto until = [&](const std::string& what) {
    char line[512];
    while (std::fgets(line, sizeof line, notes)) {
      if (std::string(line).find(what) != std::string::npos) return true;
    }
    return false;
  };
  CHECK(until("serves on"));
  ::kill(child, SIGHUP);
  CHECK(until("took in the new configuration"));
  std::ofstream(path) << "{";
  ::kill(child, SIGHUP);
  CHECK(until("not taken"));
  ::kill(child, SIGTERM);
  CHECK(until("ended"));
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK(status == 0);
  std::fclose(notes);
  ::unlink(path.c_str());
  ::rmdir(folder);
}

TEST_CASE("beyond a burst messages are taken in at a steady pace, unless the client is served") {
  net::Pace pace(3, 10ms);
  const Time start{1000s};
  for (int i = 0; i < 3; ++i) CHECK((pace.next(start) == start));
  CHECK((pace.next(start) == start + 10ms));
  CHECK((pace.next(start) == start + 20ms));
  pace.served();
  CHECK((pace.next(start) == start));
}

TEST_CASE("a request that the socket did not take is found again as never sent") {
  net::Outbox<int> outbox(100);
  outbox.add(7, 10);
  auto item = outbox.take();
  CHECK_FALSE(outbox.withdraw([](int i) { return i == 7; }));
  outbox.put_back(*item);
  outbox.close();
  CHECK(outbox.withdraw([](int i) { return i == 7; }));
}

}  // namespace
}  // namespace yokestream::test
