// Runs `yokestream serve` in a child process as the platform starts it: with a configuration, an environment,
// and the clients' listening socket as descriptor 4. Its log is read line by line.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "config/members.h"
#include "net/socket.h"

namespace yokestream::test {

// A temporary directory that is removed with its contents.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class Program {
 public:
  // `config`: the text of the platform's file. `listener`: the socket to inherit, -1 for none. `operators`:
  // the text of the operator file; empty: no operator file.
  Program(const TemporaryDirectory& directory, const std::string& config, int listener,
          std::map<std::string, std::string> environment = {}, const std::string& operators = "");
  ~Program();  // kills the process if it has not exited
  Program(const Program&) = delete;

  // Reads the log up to a line that contains `text`. False: the process exited first.
  bool wait_for_line(const std::string& text);
  // These wait until the process serves, and throw if it exits first.
  config::Endpoint admin_endpoint();
  config::Endpoint client_endpoint();
  void send_signal(int signal) const;
  pid_t pid() const { return child_; }
  // The path of the operator file, which the process reloads at SIGHUP.
  const std::string& operator_file() const { return operator_file_; }
  bool has_exited();    // does not wait
  int wait_for_exit();  // returns the exit status, or the negated signal number
  const std::string& output() const { return output_; }

 private:
  pid_t child_ = -1;
  std::FILE* output_pipe_ = nullptr;
  bool reap(int options);
  // Parses the address that the log has after `prefix`, once.
  config::Endpoint logged_endpoint(const char* prefix, config::Endpoint& endpoint);

  std::string operator_file_, output_;
  config::Endpoint admin_, client_;
  bool exited_ = false;
  int status_ = 0;
};

struct CommandResult {
  int status = 0;
  std::string output;  // standard output and error
};
// Runs a command of the program until it exits.
CommandResult run_command(const std::vector<std::string>& words);

// Sends one call to an admin endpoint, and returns the whole response. Empty: there was none.
std::string call_admin(const config::Endpoint& admin, const std::string& line);
// Repeats the call until the response starts with `prefix`.
void wait_for_admin_response(const config::Endpoint& admin, const std::string& line,
                             const std::string& prefix);
// The value of one metric in `telemetry`. -1: there is no such metric.
long metric(const config::Endpoint& admin, const std::string& name);

}  // namespace yokestream::test
