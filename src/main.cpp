// The command line: serve, check-config, version.
#include <malloc.h>
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <mutex>

#include "config/config.h"
#include "net/server.h"

#ifndef YOKESTREAM_VERSION
#error "the build names the version"
#endif

namespace {

// Standard error. Guards the core's part of it against peers that make trouble all the time: beyond some
// lines a second, lines are only counted.
class StandardError : public yokestream::manager::Log {
 public:
  void note(std::string_view line) override {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - since_ >= std::chrono::seconds(1)) {
      if (lines_ > kLinesASecond) write(std::to_string(lines_ - kLinesASecond) + " more lines were left out");
      since_ = now, lines_ = 0;
    }
    if (++lines_ <= kLinesASecond) write(line);
  }

 private:
  static constexpr int kLinesASecond = 20;
  static void write(std::string_view line) { std::cerr << "yokestream: " << line << std::endl; }

  std::mutex mutex_;
  std::chrono::steady_clock::time_point since_{};
  int lines_ = 0;
};

// Hundreds of threads would each get an arena of their own, which count to the memory limit.
void bound_memory() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
}

// A bad new file changes nothing: what was good so far goes on.
void reload(const std::string& path, yokestream::net::Server& server, StandardError& log) {
  try {
    server.reload(yokestream::config::read_config(path));
    log.note("took in the new configuration");
  } catch (const yokestream::config::ConfigError& problem) {
    log.note(std::string("the new configuration is not taken: ") + problem.what());
  }
}

int serve(const std::string& path) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t told;
  sigemptyset(&told);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&told, signal);
  // Before the file is read, so that no word is missed, and before any thread: all inherit it.
  pthread_sigmask(SIG_BLOCK, &told, nullptr);
  const auto config = yokestream::config::read_config(path);
  bound_memory();
  StandardError log;
  yokestream::net::Server server(config, log);
  log.note(config.name + " serves on " + to_string(server.endpoint()));
  for (int signal = SIGHUP; signal == SIGHUP;) {
    sigwait(&told, &signal);
    if (signal == SIGHUP) reload(path, server, log);
  }
  log.note("told to end");
  server.leave();
  server.wait();
  log.note("ended");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("yokestream, a workload manager for pools of query engines");
  app.require_subcommand(1);
  std::string path;
  const auto with_config = [&](const char* name, const char* what) {
    auto* command = app.add_subcommand(name, what);
    command->add_option("-c,--config", path, "the configuration, a JSON file")
        ->envname("RELAY_CONFIG")
        ->required();
    return command;
  };
  const auto* serve_command = with_config("serve", "Serve clients until SIGTERM or SIGINT");
  const auto* check_command = with_config("check-config", "Read and check the configuration, then exit");
  const auto* version_command = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version_command) std::cout << "yokestream " << YOKESTREAM_VERSION << std::endl;
    if (*check_command) {
      const auto config = yokestream::config::read_config(path);
      std::cout << config.name << ": good; listens on " << to_string(config.listen) << std::endl;
    }
    if (*serve_command) return serve(path);
  } catch (const std::exception& problem) {
    std::cerr << "yokestream: " << problem.what() << std::endl;
    return 1;
  }
  return 0;
}
