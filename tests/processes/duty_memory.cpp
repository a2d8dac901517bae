// What the fleet's part costs a manager in memory: the program with the part off and on, round a stand-in
// store. Printed by `measure/duty`.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

#include "net_fake_engine.h"
#include "program.h"
#include "standin/store_server.h"

namespace yokestream::test {
namespace {

// Kilobytes resident, once it has said that it serves and, with the part on, owns the duty.
long resident(const config::Endpoint& engine, const std::string& operators, bool on = false) {
  Folder folder;
  Program program(folder, config_text("127.0.0.1:0", to_string(engine)), -1, {}, operators);
  program.until("serves on");
  if (on) program.until("fleet leadership acquired: task=shares fencing_token=");
  std::ifstream status("/proc/" + std::to_string(program.id()) + "/status");
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
  const long off = resident(engine.endpoint(), ""), none = resident(engine.endpoint(), "{}");
  const std::string text = R"({fleet: {on: true, store: [")" + to_string(store.endpoint()) + R"("]}})";
  const long on = resident(engine.endpoint(), text, true);
  std::printf(
      "resident: %ld KB without an operator file, %ld KB with an empty one, %ld KB with the part on\n", off,
      none, on);
  return 0;
}
