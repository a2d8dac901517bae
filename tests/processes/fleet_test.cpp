// Owners that are killed, stopped, told to end or cut off, on real processes. Waits for what stands in the
// store; verdicts are on its history.
#include "three_managers.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(ThreeManagers,
                  "a killed owner is followed by another one, and comes back behind it under its name") {
  const auto old = term();
  const auto first = owner();
  program(first).tell(SIGKILL);
  program(first).ended();
  managers[first]->start();  // while its old session lives
  wait_for_next(old);
  wait_for_all(3);
  CHECK(owner() != first);
}

TEST_CASE_FIXTURE(
    ThreeManagers,
    "an owner stopped past its lease, with a transaction on the way, does no harm when let go") {
  const auto old = term();
  const auto first = owner();
  link(first).there(Link::Way::hold);  // it goes on writing into a way that holds all back
  while (link(first).held_there() == 0) std::this_thread::yield();
  program(first).tell(SIGSTOP);
  wait_for_next(old);
  link(first).there(Link::Way::pass);
  program(first).tell(SIGCONT);
  wait_for_all(3);
  CHECK(owner() != first);
  CHECK(program(first).until("fleet leadership lost: task=shares"));
}

TEST_CASE_FIXTURE(ThreeManagers, "two old owners that wake at once stand again behind the third") {
  auto old = term();
  const auto first = owner();
  program(first).tell(SIGSTOP);
  wait_for_next(old);
  old = term();
  const auto second = owner();
  program(second).tell(SIGSTOP);
  wait_for_next(old);
  const auto third = owner();
  program(first).tell(SIGCONT), program(second).tell(SIGCONT);
  wait_for_all(3);
  CHECK(owner() == third);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "an owner that is told to end hands over before its lease is over, and ends well") {
  const auto old = term();
  const auto first = owner();
  program(first).tell(SIGTERM);
  wait_for_next(old);
  // its lease was given back: no session of it is left, though the lease had time to run
  server.wait([&](StoreModel& model) { return all(model, kNames.member()).size() == 2; });
  CHECK(program(first).ended() == 0);
  wait_for_all(2);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "the way to the store open one way only: the process counts on less, another one owns") {
  for (const bool there : {true, false}) {
    const auto old = term();
    const auto first = owner();
    if (there)
      link(first).back(Link::Way::lose);
    else
      link(first).there(Link::Way::lose);
    wait_for_next(old);
    link(first).back(Link::Way::pass), link(first).there(Link::Way::pass);
    wait_for_all(3);
  }
}

}  // namespace
}  // namespace yokestream::test
