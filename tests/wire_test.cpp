// Decoding and encoding of single lines of the simulator's protocol.
#include "wire.h"

#include <gtest/gtest.h>

namespace yokestream::simulator_adapter {
namespace {

using namespace std::chrono_literals;

TEST(Decode, DecodesAllFieldsOfAnArrivingQuery) {
  const Line line(3,
                  "demand\tI=3\tTicket=15\tTableGroup=11\tRelation=77\tRamMb=384.5\tType=1\tProject=2\t"
                  "Expected=12000000\tRemaining=240000000\tRepeat=1\tNew=unknown");
  const auto query = std::get<policy::QueryArrived>(decode_event(line));
  EXPECT_EQ(query.query, policy::QueryId{15});
  EXPECT_EQ(query.query_class, policy::ClassId{1});
  EXPECT_EQ(query.tenant, policy::TenantId{2});
  EXPECT_EQ(query.table_group, policy::TableGroupId{11});
  EXPECT_EQ(query.order_key, policy::OrderKey{77});
  EXPECT_DOUBLE_EQ(query.memory_mb, 384.5);
  EXPECT_EQ(query.work, 12ms);
  EXPECT_EQ(query.time_left, 240ms);
  EXPECT_TRUE(query.is_retry);
}

TEST(Decode, DecodesAnOutcomeWithItsLoadReport) {
  const Line line(
      1, "attempt_end\tI=3\tTicket=1\tTrial=2\tEngine=e\tCode=dial_failed\tTimeTaken=5\tHealthInfo=0.5,7");
  const auto end = std::get<policy::AttemptEnded>(decode_event(line));
  EXPECT_EQ(end.outcome, policy::Outcome::unreachable);
  EXPECT_EQ(end.attempt, policy::AttemptNumber{2});
  EXPECT_FALSE(end.query_finished);
  EXPECT_EQ(end.load_report, (std::vector<double>{0.5, 7}));
}

TEST(Decode, DecodesTheWorkAndMemoryThatAResponseReports) {
  const Line line(1,
                  "attempt_end\tI=3\tTicket=1\tTrial=0\tEngine=e\tCode=delivered\tTimeTaken=5\tStats=69728");
  const auto end = std::get<policy::AttemptEnded>(decode_event(line));
  EXPECT_EQ(end.work, 17ms);
  EXPECT_DOUBLE_EQ(end.memory_mb, 4 * 96);
}

TEST(Decode, DecodesSettings) {
  const Line line(
      1,
      "begin\tI=0\tRandomSeed=4\tClasses.count=1\tClasses.0.Name=x\tClasses.0.Deadline=7000\t"
      "Classes.0.Promise=500\tClasses.0.Idempotency=at_most_once\tClasses.0.FifoByKey=true\t"
      "Classes.0.ZonesOnly=0,2\tHostTypes=k1,k2\tFamilyInfo.CpuOfKind=16,12\tFamilyInfo.Dop=3\t"
      "Safety.RatioSpan=9\tSafety.MinExtra=5.0\tFamilyInfo.OutOfMemory=swap\tReport.Fields=queue,zz");
  const Settings settings = decode_settings(line);
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].idempotency, policy::Idempotency::non_idempotent);
  EXPECT_TRUE(settings.classes[0].ordered);
  EXPECT_EQ(settings.classes[0].allowed_zones,
            (std::vector<policy::ZoneId>{policy::ZoneId{0}, policy::ZoneId{2}}));
  EXPECT_DOUBLE_EQ(settings.classes[0].threads, 3);
  ASSERT_EQ(settings.kinds.size(), 2u);
  EXPECT_DOUBLE_EQ(settings.kinds[1].cores, 12);
  EXPECT_TRUE(settings.retry_budget_enabled);
  EXPECT_EQ(settings.memory_shortage, policy::MemoryShortage::page);
  EXPECT_EQ(
      settings.load_report_fields,
      (std::vector<policy::LoadReportField>{policy::LoadReportField::queue, policy::LoadReportField::other}));
}

void expect_error(const std::string& text, const std::string& field) {
  try {
    const Line line(12, text);
    if (line.word() == "begin")
      decode_settings(line);
    else if (line.word() == "item")
      decode_entry(line);
    else
      decode_event(line);
    FAIL() << "accepted: " << text;
  } catch (const WireError& e) {
    EXPECT_NE(std::string(e.what()).find("line 12"), std::string::npos) << e.what();
    EXPECT_NE(std::string(e.what()).find(field), std::string::npos) << e.what();
  }
}

TEST(Decode, ErrorsNameTheLineAndTheField) {
  expect_error("elapsed\tI=1\tToken=minus", "Token");
  expect_error("elapsed\tI=1", "Token");
  expect_error("demand\tI=1\tTicket=5\tType=0\tRemaining=", "Remaining");
  expect_error("attempt_end\tI=1\tTicket=5\tTrial=0\tEngine=e\tCode=odd\tTimeTaken=1", "Code");
  expect_error("attempt_end\tI=1\tTicket=5\tTrial=0\tEngine=e\tCode=shed\tTimeTaken=1\tHealthInfo=1,,2",
               "HealthInfo");
  expect_error("heartbeat\tI=1\tTicket=5\tTrial=0\tEngine=e\tSort=9\tValue=1", "Sort");
  expect_error("note_from\tI=1\tWho=2\tPayload=a", "Payload");
  expect_error("note_from\tI=1\tWho=2\tPayload=a=bc", "Payload");
  expect_error("item\tEngine=e\tStageState=Q", "StageState");
  expect_error("begin\tI=1\tRandomSeed=1", "Classes.count");
  expect_error("begin\tI=1\tClasses.count=1\tClasses.0.Name=x\tClasses.0.Deadline=soon",
               "Classes.0.Deadline");
  expect_error("what\tI=1", "what");
  expect_error("elapsed\tToken", "Token");
}

TEST(Encode, EncodesEveryAction) {
  const auto text = [](const Action& a) {
    std::string out;
    encode(a, 3, out);
    return out;
  };
  EXPECT_EQ(text(policy::Send{policy::QueryId{5}, {"e"}, 80ms}),
            "try\tI=3\tTicket=5\tEngine=e\tMaxWait=80000000\n");
  EXPECT_EQ(text(policy::Send{policy::QueryId{5}, {"e"}, {}}), "try\tI=3\tTicket=5\tEngine=e\n");
  EXPECT_EQ(text(policy::Cancel{policy::QueryId{5}, policy::AttemptNumber{1}}),
            "recall\tI=3\tTicket=5\tTrial=1\n");
  EXPECT_EQ(text(policy::Reject{policy::QueryId{5}, 1us}), "turn_away\tI=3\tTicket=5\tStayAway=1000\n");
  EXPECT_EQ(text(policy::Fail{policy::QueryId{5}}), "drop_request\tI=3\tTicket=5\n");
  EXPECT_EQ(text(policy::SetExecutionTerms{policy::QueryId{5}, 640, 2}),
            "equip\tI=3\tTicket=5\tMemory=640.000\tWeightClass=2\n");
  EXPECT_EQ(text(policy::Probe{{"e"}}), "sample\tI=3\tEngine=e\n");
  EXPECT_EQ(text(policy::BroadcastToPeers{"hi 7"}), "memo_to\tI=3\tTarget=-1\tPayload=aGkgNw==\n");
  EXPECT_EQ(text(policy::WatchEngineList{}), "listen\tI=3\tOn=1\n");
  EXPECT_EQ(text(policy::FetchEngineList{}), "snapshot\tI=3\n");
  EXPECT_EQ(text(policy::StartTimer{1us, 77}), "schedule\tI=3\tWait=1000\tToken=77\n");
}

TEST(Base64, DecodingReturnsTheEncodedBytes) {
  for (const std::string bytes : {"", "a", "ab", "abc", "abcd", "\x00\xff\x10"}) {
    const std::string line = "note_from\tI=1\tWho=0\tPayload=" + encode_base64(bytes);
    EXPECT_EQ(decode_base64(Line(1, line), "Payload"), bytes);
  }
}

}  // namespace
}  // namespace yokestream::simulator_adapter
