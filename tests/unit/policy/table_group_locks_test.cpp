// Queries that lock a table group, and queries that wait for it.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(TableGroupLocks, SendsReadersToEnginesThatDoNotLockTheirTableGroup) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  ManagerHarness manager(make_settings({reader, load}), {make_engine("a"), make_engine("b")});
  const auto loading = manager.arrive(1, 20s, 2s, 1);
  int blocked = 0;
  for (std::uint64_t id = 2; id < 8; ++id) {
    const auto query = manager.arrive(id, 5s, 100ms, 0);
    blocked += manager.attempt_count(query) && manager.sends[query].front() == manager.sends[loading].front();
  }
  EXPECT_EQ(blocked, 0);
}

TEST(TableGroupLocks, AvoidsAnEngineLockedByAPeersQuery) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  auto settings = make_settings({reader, load});
  settings.manager_count = 2;
  settings.may_message = true;
  ManagerHarness peer(settings), manager(settings);
  std::string begin;
  QueryArrived announced;
  announced.query = QueryId{1};
  announced.query_class = ClassId{1};
  announced.work = 2s;
  announced.time_left = 20s;
  for (const Action& action : peer.feed(announced)) {
    if (const auto* broadcast = std::get_if<BroadcastToPeers>(&action)) begin = broadcast->payload;
  }
  ASSERT_FALSE(begin.empty());
  const std::string locked_engine = peer.sends[announced.query].front();
  manager.feed(PeerMessage{ManagerId{1}, begin});
  manager.feed(PeerMessage{ManagerId{1}, "not a valid message"});
  const auto query = manager.arrive(2);
  EXPECT_NE(manager.sends[query].front(), locked_engine);
}

}  // namespace
}  // namespace yokestream::policy::testing
