// Queries that lock a table group, and those that wait for it.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(TableGroupLocks, AvoidsAnEngineThatLocksItsTableGroup) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  ManagerHarness manager(make_settings({reader, load}), {make_engine("a"), make_engine("b")});
  const auto l = manager.arrive(1, 20s, 2s, 1);
  int behind = 0;
  for (std::uint64_t id = 2; id < 8; ++id) {
    const auto q = manager.arrive(id, 5s, 100ms, 0);
    behind += manager.attempt_count(q) && manager.sends[q].front() == manager.sends[l].front();
  }
  EXPECT_EQ(behind, 0);
}

TEST(TableGroupLocks, HeedsAPeersLockUntilItsEnd) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  auto s = make_settings({reader, load});
  s.manager_count = 2;
  s.may_message = true;
  ManagerHarness peer(s), manager(s);
  std::string begin;
  QueryArrived announced;
  announced.query = QueryId{1};
  announced.query_class = ClassId{1};
  announced.work = 2s;
  announced.time_left = 20s;
  for (const Action& a : peer.feed(announced)) {
    if (const auto* t = std::get_if<BroadcastToPeers>(&a)) begin = t->payload;
  }
  ASSERT_FALSE(begin.empty());
  const std::string where = peer.sends[announced.query].front();
  manager.feed(PeerMessage{ManagerId{1}, begin});
  manager.feed(PeerMessage{ManagerId{1}, "no such thing"});
  const auto q = manager.arrive(2);
  EXPECT_NE(manager.sends[q].front(), where);
}

}  // namespace
}  // namespace yokestream::policy::testing
