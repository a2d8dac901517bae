// An engine on loopback: the model behind the platform's protocol (RESP), a thread a connection and one that
// answers when queries end. For measurements; never linked into `yokestream serve`.
#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "config/members.h"
#include "net/socket.h"
#include "net/thread.h"
#include "standin/engine_model.h"

namespace yokestream::standin {

// Commands as engines read them: arrays of bulk strings. Fed bytes; throws std::runtime_error on others.
class CommandReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  bool next(std::vector<std::string>& words);  // false: not whole yet

 private:
  std::string buffer_;
};

class EngineServer {
 public:
  // What a statement costs stands in it: "select ... work=0.14 threads=1 mb=64 group=3".
  explicit EngineServer(EngineSettings settings);  // throws std::system_error
  ~EngineServer();                                 // ends all connections and joins
  config::Endpoint endpoint() const { return endpoint_; }
  std::uint64_t loads_run_twice();  // ids that were started more than once

 private:
  struct Connection {
    explicit Connection(net::Fd fd) : socket(std::move(fd)) {}
    net::Socket socket;
    std::mutex writing;
    net::Thread reader;
    bool over = false;  // guarded by the server's mutex
  };
  void accept_all();
  void read(Connection& connection);
  void obey(Connection& connection, const std::vector<std::string>& words);
  void answer_all();
  void say(Connection& connection, const std::vector<std::string>& words);
  void sweep();

  net::Fd listener_;
  config::Endpoint endpoint_;
  std::mutex mutex_;
  std::condition_variable news_;
  EngineModel model_;
  std::map<std::string, Connection*> runs_;
  std::map<std::string, int> started_;
  std::list<Connection> connections_;
  bool over_ = false;
  net::Thread answerer_, acceptor_;  // last: they use the rest
};

}  // namespace yokestream::standin
