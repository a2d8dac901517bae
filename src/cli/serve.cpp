#include <malloc.h>
#include <pthread.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <memory>

#include "cli/commands.h"
#include "cli/log.h"
#include "net/listening_socket.h"
#include "net/server.h"
#include "operator/operator_file.h"

namespace yokestream::cli {
namespace {

// Hundreds of threads would each get an arena of their own, which count to the memory limit.
void bound_memory() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// What the platform tells beside its file.
void read_environment(config::Config& config) {
  const std::string management = environment("RELAY_MANAGEMENT"), listener = environment("RELAY_LISTEN_FD");
  if (!config.management && !management.empty())
    config.management = config::parse_endpoint("RELAY_MANAGEMENT", management);
  if (config.management) config.limits.door = admin::AdminListener::kMaxDescriptors;
  if (config.fleet.enabled) config.limits.fleet = net::CoordinationThread::kMaxDescriptors;
  if (listener.empty()) return;
  int fd = -1;
  const auto [end, error] = std::from_chars(listener.data(), listener.data() + listener.size(), fd);
  if (error != std::errc() || end != listener.data() + listener.size() || !net::is_listener(fd))
    throw config::ConfigError("RELAY_LISTEN_FD", "not the number of a listening socket");
  config.listen_fd = fd;
  config.limits.processes = 2;
  config.shared_folder = environment("TMPDIR");
}

// A bad new file changes nothing: what was good so far goes on. `fleet`: what this process began with. Its
// session, its areas and its place in the store hang on it, so it is not changed under them.
void reload(const Files& files, const coordination::Settings& fleet, net::Server& server, Log& log) {
  try {
    const auto both = operator_file::read_both(files.config, files.operators);
    server.reload(both.config);
    log.configure(both.operators.log);
    log.write("took in the new configuration");
    if (both.config.fleet != fleet) log.write("fleet: it stays as it was until a restart");
  } catch (const config::ConfigError& problem) {
    log.write(std::string("the new configuration is not taken: ") + problem.what());
  }
}

int serve(const Files& files) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t told;
  sigemptyset(&told);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&told, signal);
  // Before the files are read, so that no word is missed, and before any thread: all inherit it.
  pthread_sigmask(SIG_BLOCK, &told, nullptr);
  auto both = operator_file::read_both(files.config, files.operators);
  read_environment(both.config);
  bound_memory();
  Log log(both.operators.log);
  net::Server server(both.config, log);
  const auto management = server.admin_endpoint();
  log.write(both.config.name + " serves on " + to_string(server.endpoint()) +
            (both.config.door.on ? " with the door on" : "") +
            (management ? ", operators on " + to_string(*management) : ""));
  for (int signal = SIGHUP; signal == SIGHUP;) {
    sigwait(&told, &signal);
    if (signal == SIGHUP) reload(files, both.config.fleet, server, log);
  }
  log.write("told to end");
  server.begin_shutdown();
  server.wait();
  log.write("ended");
  return 0;
}

}  // namespace

void add_files(CLI::App& command, Files& files) {
  command.add_option("-c,--config", files.config, "the platform's configuration, a JSON file")
      ->envname("RELAY_CONFIG")
      ->required();
  command.add_option("-o,--operator", files.operators,
                     "the operator file, Jsonnet; without it its parts are off");
}

void add_serve(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("serve", "Serve clients until SIGTERM or SIGINT");
  const auto files = std::make_shared<Files>();
  add_files(*command, *files);
  command->callback([files, &status] { status = serve(*files); });
}

}  // namespace yokestream::cli
