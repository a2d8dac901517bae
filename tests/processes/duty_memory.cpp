// Measures the resident memory that fleet coordination adds to a manager: runs the program with coordination
// off and on, against a stand-in store. `measure/duty` prints the result.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

#include "net_fake_engine.h"
#include "program.h"
#include "standin/store_server.h"

namespace yokestream::test {
namespace {

// Resident memory in KB, once the program serves clients and, with coordination on, leads the load share
// task.
long resident_kb(const config::Endpoint& engine, const std::string& operators, bool on = false) {
  TemporaryDirectory directory;
  Program program(directory, config_text("127.0.0.1:0", to_string(engine)), -1, {}, operators);
  program.wait_for_line("serves on");
  if (on) program.wait_for_line("fleet leadership acquired: task=shares fencing_token=");
  std::ifstream status("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string word; status >> word;) {
    long kb = 0;
    if (word == "VmRSS:" && status >> kb) return kb;
  }
  return -1;
}

}  // namespace
}  // namespace yokestream::test

int main() {
  using namespace yokestream::test;
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  FakeEngine engine(0, true);
  yokestream::standin::StoreServer store;
  const long off = resident_kb(engine.endpoint(), ""), none = resident_kb(engine.endpoint(), "{}");
  const std::string text = R"({fleet: {on: true, store: [")" + to_string(store.endpoint()) + R"("]}})";
  const long on = resident_kb(engine.endpoint(), text, true);
  std::printf(
      "resident: %ld KB without an operator file, %ld KB with an empty one, %ld KB with the part on\n", off,
      none, on);
  return 0;
}
