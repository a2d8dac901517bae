#include "program.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace yokestream::test {
namespace {

constexpr int kHandedDown = 4;

}  // namespace

Folder::Folder() {
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  if (!::mkdtemp(path.data())) throw std::runtime_error("no folder");
  path_ = path;
}
Folder::~Folder() { std::filesystem::remove_all(path_); }

Program::Program(const Folder& folder, const std::string& config, int listener,
                 std::map<std::string, std::string> environment, const std::string& operators) {
  static int count = 0;
  const std::string path = folder.path() + "/config-" + std::to_string(++count) + ".json";
  std::ofstream(path) << config;
  operator_file_ = path + ".operators";
  std::ofstream(operator_file_) << operators;
  environment.emplace("TMPDIR", folder.path());
  if (listener >= 0) environment.emplace("RELAY_LISTEN_FD", std::to_string(kHandedDown));
  std::vector<std::string> all = {"yokestream", "serve", "-c", path};
  if (!operators.empty()) all.insert(all.end(), {"-o", operator_file_});
  std::vector<char*> arguments;
  for (auto& word : all) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::vector<std::string> words;
  for (const auto& [name, value] : environment) words.push_back(name + "=" + value);
  std::vector<char*> pointers;
  for (auto& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  child_ = ::fork();
  if (child_ == 0) {
    ::dup2(pipe[1], 2);
    if (listener == kHandedDown) ::fcntl(listener, F_SETFD, 0);  // dup2() would leave it to close at exec
    if (listener >= 0) ::dup2(listener, kHandedDown);
    ::execve(YOKESTREAM_PROGRAM, arguments.data(), pointers.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  notes_ = ::fdopen(pipe[0], "r");
}

Program::~Program() {
  if (!over_) ::kill(child_, SIGKILL), ended();
  std::fclose(notes_);
}

bool Program::until(const std::string& what) {
  char line[1024];
  while (std::fgets(line, sizeof line, notes_)) {
    said_ += line;
    if (std::string(line).find(what) != std::string::npos) return true;
  }
  return false;
}

config::Endpoint Program::told(const char* words, config::Endpoint& known) {
  if (known.port == 0) {
    if (said_.find(words) == std::string::npos && !until(words))
      throw std::runtime_error("the program has ended before it served: " + said_);
    const auto at = said_.rfind(words) + std::string(words).size();
    known = config::parse_endpoint("told", said_.substr(at, said_.find_first_of(" ,\n", at) - at));
  }
  return known;
}
config::Endpoint Program::operators() { return told("operators on ", door_); }
config::Endpoint Program::serves_on() { return told("serves on ", clients_); }

void Program::tell(int signal) const { ::kill(child_, signal); }

bool Program::reap(int options) {
  int status = 0;
  if (!over_ && ::waitpid(child_, &status, options) == child_) {
    over_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return over_;
}

bool Program::has_ended() { return reap(WNOHANG); }

int Program::ended() {
  reap(0);
  return status_;
}

Said command(const std::vector<std::string>& words) {
  std::string line = YOKESTREAM_PROGRAM;
  for (const auto& word : words) line += " '" + word + "'";
  Said out;
  std::FILE* from = ::popen((line + " 2>&1").c_str(), "r");
  if (!from) throw std::runtime_error("no pipe");
  char bytes[4096];
  while (const auto size = std::fread(bytes, 1, sizeof bytes, from)) out.words.append(bytes, size);
  const int status = ::pclose(from);
  out.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return out;
}

std::string ask(const config::Endpoint& door, const std::string& line) {
  net::Socket socket;
  std::string answer;
  net::ConnectFailure failure;
  if (!socket.connect(door, net::Time::max(), &failure)) return {};
  if (socket.write(line + "\n") != net::Socket::WriteResult::all) return {};
  char bytes[4096];
  while (const auto size = socket.read_until(bytes, sizeof bytes, net::Time::max()))
    answer.append(bytes, size);
  return answer;
}

void ask_until(const config::Endpoint& door, const std::string& line, const std::string& begins) {
  while (ask(door, line).rfind(begins, 0) != 0) std::this_thread::yield();
}

long figure(const config::Endpoint& door, const std::string& name) {
  const std::string text = ask(door, "telemetry");
  const auto at = text.find("edge_relay." + name + ":");
  return at == std::string::npos ? -1 : std::stol(text.substr(text.find(':', at) + 1));
}

}  // namespace yokestream::test
