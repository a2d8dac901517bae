// Tests of upgrade::ProcessGroup with several members in one process, each with its own open file and thus
// its own locks.
#include "upgrade/process_group.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <system_error>
#include <vector>

#include "config/config.h"
#include "dispatch/budget.h"

namespace yokestream::test {
namespace {

using upgrade::ProcessGroup;

struct SharedFolder {
  SharedFolder() { REQUIRE(::mkdtemp(path.data())); }
  ~SharedFolder() { std::filesystem::remove_all(path); }
  std::unique_ptr<ProcessGroup> start() { return std::make_unique<ProcessGroup>(path); }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
};

// A process that misses the start or the death of a peer would shut down while no other process serves, or
// wait for a dead one.
TEST_CASE_FIXTURE(SharedFolder, "a peer counts as successor while it serves, until it withdraws or dies") {
  const auto predecessor = start();
  CHECK_FALSE(predecessor->has_successor());
  predecessor->announce_serving();
  CHECK_FALSE(predecessor->has_successor());  // a process is not its own successor
  auto successor = start();
  CHECK(successor->has_successor());
  CHECK_FALSE(predecessor->has_successor());
  successor->announce_serving();
  CHECK(predecessor->has_successor());
  predecessor->withdraw();
  CHECK_FALSE(successor->has_successor());
  successor.reset();  // closes its file, as the kernel does for a dead process
  CHECK_FALSE(predecessor->has_successor());
}

// If the record of a killed process still counted, its sessions would reduce the limits of the others for
// ever.
TEST_CASE_FIXTURE(
    SharedFolder,
    "usage is summed over living peers; records of dead ones and garbage in the file do not count") {
  std::ofstream(path + "/yokestream-processes") << std::string(4096, '\x7f');
  const auto a = start();
  CHECK(a->peer_usage().sessions == 0);
  auto b = start(), c = start();
  CHECK(a->peer_usage().sessions == 0);  // they have published nothing yet
  b->publish_usage({3, 1000});
  c->publish_usage({4, 500});
  CHECK(a->peer_usage().sessions == 7);
  CHECK(a->peer_usage().bytes == 1500);
  CHECK(b->peer_usage().sessions == 4);
  b.reset();
  CHECK(a->peer_usage().sessions == 4);
  b = start();  // in the same slot
  CHECK(a->peer_usage().sessions == 4);
}

TEST_CASE_FIXTURE(SharedFolder, "a full group and a missing folder are errors, and a freed slot is reused") {
  std::vector<std::unique_ptr<ProcessGroup>> all;
  for (int i = 0; i < ProcessGroup::kMaxProcesses; ++i) all.push_back(start());
  CHECK_THROWS_AS(start(), std::system_error);
  all.pop_back();
  CHECK_NOTHROW(start());
  CHECK_THROWS_AS(ProcessGroup("/nowhere/at/all"), std::system_error);
}

TEST_CASE("bytes set aside for peers are not reserved here, and reservations that exist stay") {
  dispatch::Budget budget(10);
  dispatch::Reservation six, more;
  REQUIRE(budget.try_reserve(six, 6));
  budget.set_withheld(3);
  CHECK_FALSE(budget.try_reserve(more, 2));
  CHECK(budget.try_reserve(more, 1));
  budget.set_withheld(100);
  CHECK_FALSE(budget.try_reserve(more, 1));
  CHECK(budget.reserved() == 7);
  budget.set_withheld(0);
  CHECK(budget.try_reserve(more, 3));
}

TEST_CASE("two processes of one group together stay within the descriptor limit of one") {
  for (const std::size_t sockets : {128u, 256u, 384u, 1024u}) {
    config::Limits limits;
    limits.sockets = sockets;
    limits.processes = 2;
    limits.door = 20;
    const std::size_t own = limits.links() + config::Limits::kOtherDescriptors + limits.door;
    CHECK(2 * own + limits.sessions() <= sockets);
  }
}

}  // namespace
}  // namespace yokestream::test
