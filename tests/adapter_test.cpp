// End-to-end tests of the adapter on streams: complete batches in, complete replies out.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "host.h"

namespace yokestream::simulator_adapter {
namespace {

struct Result {
  int exit_status;
  std::string out, err;
};
Result run_on(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, err;
  const int exit_status = run(in, out, err);
  return {exit_status, out.str(), err.str()};
}

std::string begin(int instance) {
  return "begin\tI=" + std::to_string(instance) +
         "\tRandomSeed=4\tClasses.count=1\tClasses.0.Name=x\tClasses.0.Promise=1000000000\t"
         "Classes.0.Deadline=5000000000\tHostTypes=k\tFamilyInfo.CpuOfKind=4\tAllowed.SendCap=3\n";
}
const std::string kEngineList =
    "sheet\tRosterId=0\tMembersList=2\nitem\tEngine=engine_a\tStageState=U\nitem\tEngine=engine_"
    "b\tStageState=U\n";
std::string members(int instance) {
  return "members\tI=" + std::to_string(instance) + "\tVersion=1\tKind=cached\tRosterId=0\n";
}
std::string demand(int instance, int ticket) {
  return "demand\tI=" + std::to_string(instance) + "\tTicket=" + std::to_string(ticket) +
         "\tType=0\tExpected=100000000\tRemaining=5000000000\n";
}
std::string batch(int turn, const std::string& events) {
  return "clock\tWall=" + std::to_string(turn * 1000000) + "\tturn=" + std::to_string(turn) + "\n" + events +
         "your_turn\n";
}

TEST(Adapter, ServesBatchesFromStartToEnd) {
  const auto result = run_on(batch(1, "") + batch(2, begin(3) + kEngineList + members(3) + demand(3, 8)) +
                             batch(3,
                                   "attempt_end\tI=3\tTicket=8\tTrial=0\tEngine=engine_a\tCode=delivered\t"
                                   "TimeTaken=1000000\tFinished=1\n") +
                             batch(4, "teardown\tI=3\n" + demand(3, 9)));
  EXPECT_EQ(result.exit_status, 0) << result.err;
  EXPECT_EQ(result.out.substr(0, 10), "ok\tturn=1\n");
  EXPECT_NE(result.out.find("try\tI=3\tTicket=8\tEngine=engine_"), std::string::npos);
  EXPECT_EQ(result.out.find("Ticket=9"), std::string::npos);  // its controller was torn down before
  EXPECT_NE(result.out.find("ok\tturn=4\n"), std::string::npos);
}

TEST(Adapter, SeveralControllersInOneProcessActAsInSeparateProcesses) {
  const auto lines_of = [](const std::string& text, const std::string& marker) {
    std::istringstream in(text);
    std::string out;
    for (std::string line; std::getline(in, line);) {
      if (line.find(marker) != std::string::npos) out += line + "\n";
    }
    return out;
  };
  std::string both = batch(1, begin(0) + begin(1) + kEngineList + members(0) + members(1)), only[2];
  for (const int i : {0, 1}) only[i] = batch(1, begin(i) + kEngineList + members(i));
  for (int turn = 2; turn < 60; ++turn) {
    both += batch(turn, demand(0, turn) + demand(1, 1000 + turn));
    only[0] += batch(turn, demand(0, turn));
    only[1] += batch(turn, demand(1, 1000 + turn));
  }
  const auto together = run_on(both);
  for (const int i : {0, 1}) {
    const std::string marker = "\tI=" + std::to_string(i) + "\t";
    const auto alone = lines_of(run_on(only[i]).out, marker);
    EXPECT_GT(alone.size(), 500u);
    EXPECT_EQ(lines_of(together.out, marker), alone);
  }
}

TEST(Adapter, InvalidInputExitsWithStatusOneAndNamesLineAndField) {
  const std::string good = batch(1, begin(3) + kEngineList + members(3));
  const std::pair<std::string, std::string> cases[] = {
      {"your_turn\n", "line 1: field clock"},
      {good + batch(0, ""), "line 8: field Wall: earlier than in the previous batch"},
      {good + batch(2, "demand\tI=3\tTicket=x\tType=0\tRemaining=5\n"), "line 9: field Ticket"},
      {good + batch(2, "demand\tI=3\tTicket=1\tType=7\tRemaining=5\n"), "cls"},
      {batch(1, begin(3) + members(3)), "line 3: field RosterId"},
      {batch(1, "sheet\tRosterId=0\tMembersList=2\nitem\tEngine=a\tStageState=U\n"), "line 4: field item"},
      {good.substr(0, good.size() - 4), "the input ends"},
      {batch(1, "begin\tI=1\tRandomSeed=1\tClasses.count=0\n"), "classes"},
  };
  for (const auto& [input, message] : cases) {
    const auto result = run_on(input);
    EXPECT_EQ(result.exit_status, 1) << message;
    EXPECT_NE(result.err.find(message), std::string::npos) << result.err;
  }
}

TEST(Adapter, DamagedInputNeverCrashesOrHangs) {
  const std::string good =
      batch(1, begin(3) + kEngineList + members(3)) + batch(2, demand(3, 8)) +
      batch(3, "heartbeat\tI=3\tTicket=8\tTrial=0\tEngine=engine_a\tSort=1\tValue=0.5\n" +
                   std::string("elapsed\tI=3\tToken=0\n"));
  ASSERT_EQ(run_on(good).exit_status, 0);
  std::mt19937 random(11);
  const std::string alphabet = "\t=\n,.-09azZ\xff";
  int rejected = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string text = good;
    for (unsigned k = 0; k <= random() % 4; ++k) {
      const std::size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = alphabet[random() % alphabet.size()];
          break;
        case 1:
          text.erase(at, 1 + random() % 9);
          break;
        default:
          text.insert(at, 1, alphabet[random() % alphabet.size()]);
      }
    }
    const auto result = run_on(text);
    ASSERT_TRUE(result.exit_status == 0 || result.exit_status == 1);
    EXPECT_EQ(result.exit_status == 1, result.err.find("line ") != std::string::npos) << result.err;
    rejected += result.exit_status;
  }
  EXPECT_GT(rejected, 1000);
}

}  // namespace
}  // namespace yokestream::simulator_adapter
