// `yokestream serve` as a child process with files of its own, for measurements and the demo.
#pragma once

#include <sys/types.h>

#include <string>

#include "config/members.h"
#include "net/thread.h"

namespace yokestream::standin {

class ServedProgram {
 public:
  // Starts `program serve` with these two files (the second may be empty) and waits until it serves. Throws
  // std::runtime_error where it ends first.
  ServedProgram(const std::string& program, const std::string& platform_json,
                const std::string& operator_jsonnet);
  ~ServedProgram();  // SIGTERM, and waits for its end
  config::Endpoint endpoint() const { return endpoint_; }
  double resident_mb() const;
  double processor_seconds() const;

 private:
  void follow_log();

  std::string folder_;
  pid_t child_ = -1;
  std::FILE* log_ = nullptr;
  config::Endpoint endpoint_;
  net::Thread reader_;  // last: it uses the rest
};

}  // namespace yokestream::standin
