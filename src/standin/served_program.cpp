#include "standin/served_program.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace yokestream::standin {

ServedProgram::ServedProgram(const std::string& program, const std::string& platform_json,
                             const std::string& operator_jsonnet) {
  std::string folder =
      (std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp") + std::string("/yokestream-XXXXXX");
  if (!::mkdtemp(folder.data())) throw std::runtime_error("no folder for the configuration");
  folder_ = folder;
  const std::string platform = folder_ + "/config.json", operators = folder_ + "/operator.jsonnet";
  std::ofstream(platform) << platform_json;
  std::ofstream(operators) << (operator_jsonnet.empty() ? "{}" : operator_jsonnet);
  int pipe[2];
  if (::pipe(pipe) != 0) throw std::runtime_error("no pipe");
  child_ = ::fork();
  if (child_ == 0) {
    ::dup2(pipe[1], 2);
    ::close(pipe[0]);
    ::execl(program.c_str(), "yokestream", "serve", "-c", platform.c_str(), "-o", operators.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(pipe[1]);
  log_ = ::fdopen(pipe[0], "r");
  char line[1024];
  std::string last;
  while (std::fgets(line, sizeof line, log_)) {
    last = line;
    const auto at = last.find("serves on ");
    if (at == std::string::npos) continue;
    std::istringstream words(last.substr(at + 10));
    std::string address;
    words >> address;
    endpoint_ = config::parse_endpoint("serves on", address);
    break;
  }
  if (endpoint_.port == 0) throw std::runtime_error("the program does not serve: " + last);
  reader_ = net::Thread("si-log", 256 * 1024, [this] { follow_log(); });
}

// Its figures of the door go on to our own standard error; nothing it writes may block it.
void ServedProgram::follow_log() {
  char line[1024];
  while (std::fgets(line, sizeof line, log_)) std::fputs(line, stderr);
}

ServedProgram::~ServedProgram() {
  if (child_ > 0) {
    ::kill(child_, SIGTERM);
    int status = 0;
    ::waitpid(child_, &status, 0);
  }
  reader_.join();
  std::fclose(log_);
  ::unlink((folder_ + "/config.json").c_str());
  ::unlink((folder_ + "/operator.jsonnet").c_str());
  ::rmdir(folder_.c_str());
}

double ServedProgram::resident_mb() const {
  std::ifstream statm("/proc/" + std::to_string(child_) + "/statm");
  double size = 0, resident = 0;
  statm >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
}

double ServedProgram::processor_seconds() const {
  std::ifstream stat("/proc/" + std::to_string(child_) + "/stat");
  std::string line, word;
  std::getline(stat, line);
  std::istringstream words(line.substr(line.rfind(')') + 2));
  double ticks = 0;
  for (int field = 3; words >> word && field <= 15; ++field) {
    if (field >= 14) ticks += std::atof(word.c_str());
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace yokestream::standin
