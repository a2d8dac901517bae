// Leaders that are killed, stopped, terminated or partitioned, on real processes. Tests wait for states of
// the store; the store's history is checked at the end.
#include "three_managers.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(ThreeManagers,
                  "a killed leader is replaced, and rejoins as the last candidate under the same name") {
  const auto old = leader_revision();
  const auto first = leader_index();
  program(first).send_signal(SIGKILL);
  program(first).wait_for_exit();
  managers[first]->start();  // while its old session is still alive
  wait_for_new_leader(old);
  wait_for_fleet(3);
  CHECK(leader_index() != first);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "a leader resumed after its lease expired, with a transaction in flight, cannot write") {
  const auto old = leader_revision();
  const auto first = leader_index();
  link(first).there(Link::Way::hold);  // the leader's writes are held back in the network
  while (link(first).held_there() == 0) std::this_thread::yield();
  program(first).send_signal(SIGSTOP);
  wait_for_new_leader(old);
  link(first).there(Link::Way::pass);
  program(first).send_signal(SIGCONT);
  wait_for_fleet(3);
  CHECK(leader_index() != first);
  CHECK(program(first).wait_for_line("fleet leadership lost: task=shares"));
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "two former leaders that resume at once become candidates after the current leader") {
  auto old = leader_revision();
  const auto first = leader_index();
  program(first).send_signal(SIGSTOP);
  wait_for_new_leader(old);
  old = leader_revision();
  const auto second = leader_index();
  program(second).send_signal(SIGSTOP);
  wait_for_new_leader(old);
  const auto third = leader_index();
  program(first).send_signal(SIGCONT), program(second).send_signal(SIGCONT);
  wait_for_fleet(3);
  CHECK(leader_index() == third);
}

TEST_CASE_FIXTURE(ThreeManagers, "a terminated leader resigns before its lease expires, and exits with 0") {
  const auto old = leader_revision();
  const auto first = leader_index();
  program(first).send_signal(SIGTERM);
  wait_for_new_leader(old);
  // Its lease was revoked: its session is gone, although the lease had not expired.
  server.wait([&](StoreModel& model) { return list_keys(model, kStoreKeys.member()).size() == 2; });
  CHECK(program(first).wait_for_exit() == 0);
  wait_for_fleet(2);
}

TEST_CASE_FIXTURE(ThreeManagers, "a leader whose link to the store works in one direction only is replaced") {
  for (const bool there : {true, false}) {
    const auto old = leader_revision();
    const auto first = leader_index();
    if (there)
      link(first).back(Link::Way::lose);
    else
      link(first).there(Link::Way::lose);
    wait_for_new_leader(old);
    link(first).back(Link::Way::pass), link(first).there(Link::Way::pass);
    wait_for_fleet(3);
  }
}

}  // namespace
}  // namespace yokestream::test
