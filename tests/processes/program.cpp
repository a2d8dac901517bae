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

constexpr int kInheritedDescriptor = 4;

}  // namespace

TemporaryDirectory::TemporaryDirectory() {
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  if (!::mkdtemp(path.data())) throw std::runtime_error("cannot create a temporary directory");
  path_ = path;
}
TemporaryDirectory::~TemporaryDirectory() { std::filesystem::remove_all(path_); }

Program::Program(const TemporaryDirectory& directory, const std::string& config, int listener,
                 std::map<std::string, std::string> environment, const std::string& operators) {
  static int count = 0;
  const std::string path = directory.path() + "/config-" + std::to_string(++count) + ".json";
  std::ofstream(path) << config;
  operator_file_ = path + ".operators";
  std::ofstream(operator_file_) << operators;
  environment.emplace("TMPDIR", directory.path());
  if (listener >= 0) environment.emplace("RELAY_LISTEN_FD", std::to_string(kInheritedDescriptor));
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
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
  child_ = ::fork();
  if (child_ == 0) {
    ::dup2(pipe[1], 2);
    if (listener == kInheritedDescriptor)
      ::fcntl(listener, F_SETFD, 0);  // dup2() to itself would keep FD_CLOEXEC set
    if (listener >= 0) ::dup2(listener, kInheritedDescriptor);
    ::execve(YOKESTREAM_PROGRAM, arguments.data(), pointers.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  output_pipe_ = ::fdopen(pipe[0], "r");
}

Program::~Program() {
  if (!exited_) ::kill(child_, SIGKILL), wait_for_exit();
  std::fclose(output_pipe_);
}

bool Program::wait_for_line(const std::string& text) {
  char line[1024];
  while (std::fgets(line, sizeof line, output_pipe_)) {
    output_ += line;
    if (std::string(line).find(text) != std::string::npos) return true;
  }
  return false;
}

config::Endpoint Program::logged_endpoint(const char* prefix, config::Endpoint& endpoint) {
  if (endpoint.port == 0) {
    if (output_.find(prefix) == std::string::npos && !wait_for_line(prefix))
      throw std::runtime_error("the program exited before it served: " + output_);
    const auto at = output_.rfind(prefix) + std::string(prefix).size();
    endpoint = config::parse_endpoint("logged", output_.substr(at, output_.find_first_of(" ,\n", at) - at));
  }
  return endpoint;
}
config::Endpoint Program::admin_endpoint() { return logged_endpoint("operators on ", admin_); }
config::Endpoint Program::client_endpoint() { return logged_endpoint("serves on ", client_); }

void Program::send_signal(int signal) const { ::kill(child_, signal); }

bool Program::reap(int options) {
  int status = 0;
  if (!exited_ && ::waitpid(child_, &status, options) == child_) {
    exited_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return exited_;
}

bool Program::has_exited() { return reap(WNOHANG); }

int Program::wait_for_exit() {
  reap(0);
  return status_;
}

CommandResult run_command(const std::vector<std::string>& words) {
  std::string line = YOKESTREAM_PROGRAM;
  for (const auto& word : words) line += " '" + word + "'";
  CommandResult out;
  std::FILE* from = ::popen((line + " 2>&1").c_str(), "r");
  if (!from) throw std::runtime_error("cannot create a pipe");
  char bytes[4096];
  while (const auto size = std::fread(bytes, 1, sizeof bytes, from)) out.output.append(bytes, size);
  const int status = ::pclose(from);
  out.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return out;
}

std::string call_admin(const config::Endpoint& admin, const std::string& line) {
  net::Socket socket;
  std::string answer;
  net::ConnectFailure failure;
  if (!socket.connect(admin, net::Time::max(), &failure)) return {};
  if (socket.write(line + "\n") != net::Socket::WriteResult::all) return {};
  char bytes[4096];
  while (const auto size = socket.read_until(bytes, sizeof bytes, net::Time::max()))
    answer.append(bytes, size);
  return answer;
}

void wait_for_admin_response(const config::Endpoint& admin, const std::string& line,
                             const std::string& prefix) {
  while (call_admin(admin, line).rfind(prefix, 0) != 0) std::this_thread::yield();
}

long metric(const config::Endpoint& admin, const std::string& name) {
  const std::string text = call_admin(admin, "telemetry");
  const auto at = text.find("edge_relay." + name + ":");
  return at == std::string::npos ? -1 : std::stol(text.substr(text.find(':', at) + 1));
}

}  // namespace yokestream::test
