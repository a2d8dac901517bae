// `yokestream serve` in a process of its own, as the platform starts it: a configuration, an environment, and
// the clients' listener as descriptor 4. What it says is read line by line; its end is waited for or forced.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "config/members.h"
#include "net/socket.h"

namespace yokestream::test {

// A folder of the test's own, gone with it and all it holds.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class Program {
 public:
  // `config`: the platform file's text. `listener` below 0: none is handed down. `operators`: the text of the
  // operator file; empty: there is none.
  Program(const Folder& folder, const std::string& config, int listener,
          std::map<std::string, std::string> environment = {}, const std::string& operators = "");
  ~Program();  // SIGKILL, if it has not ended
  Program(const Program&) = delete;

  bool until(const std::string& what);  // reads what it says up to a line with this; false: it ended first
  config::Endpoint operators();  // once it serves: its door. Throws if it ends first, as serves_on() does
  void tell(int signal) const;
  pid_t id() const { return child_; }
  const std::string& operator_file() const {
    return operator_file_;
  }                              // its path; another text counts at SIGHUP
  bool has_ended();              // without waiting
  int ended();                   // waits for its end: the exit status, or minus the signal
  config::Endpoint serves_on();  // once it serves: its clients' address
  const std::string& said() const { return said_; }

 private:
  pid_t child_ = -1;
  std::FILE* notes_ = nullptr;
  bool reap(int options);
  config::Endpoint told(const char* words, config::Endpoint& known);

  std::string operator_file_, said_;
  config::Endpoint door_, clients_;
  bool over_ = false;
  int status_ = 0;
};

struct Said {
  int status = 0;
  std::string words;  // all that it wrote
};
// A command of the program, to its end.
Said command(const std::vector<std::string>& words);

// One call at an operators' door: the whole answer. Empty: none came.
std::string ask(const config::Endpoint& door, const std::string& line);
// Asks until the answer begins so.
void ask_until(const config::Endpoint& door, const std::string& line, const std::string& begins);
// One figure of `telemetry`; -1: it is not there.
long figure(const config::Endpoint& door, const std::string& name);

}  // namespace yokestream::test
