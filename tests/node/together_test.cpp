// Processes that share a listener, as values: locks of several open files in one process stand for them.
#include "net/together.h"

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

using net::Together;

struct Shared {
  Shared() { REQUIRE(::mkdtemp(path.data())); }
  ~Shared() { std::filesystem::remove_all(path); }
  std::unique_ptr<Together> start() { return std::make_unique<Together>(path); }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
};

TEST_CASE_FIXTURE(Shared, "a process sees who else says yes, until that one steps down or has gone") {
  const auto old = start();
  CHECK_FALSE(old->successor());
  old->say_yes();
  CHECK_FALSE(old->successor());  // itself is none
  auto young = start();
  CHECK(young->successor());
  CHECK_FALSE(old->successor());
  young->say_yes();
  CHECK(old->successor());
  old->step_down();
  CHECK_FALSE(young->successor());
  young.reset();  // as the system does it for a dead one
  CHECK_FALSE(old->successor());
}

TEST_CASE_FIXTURE(
    Shared, "what the living hold is summed up; what a dead one told, or noise in the file, counts nothing") {
  std::ofstream(path + "/yokestream-processes") << std::string(4096, '\x7f');
  const auto a = start();
  CHECK(a->others().sessions == 0);
  auto b = start(), c = start();
  CHECK(a->others().sessions == 0);  // they have told nothing yet
  b->tell({3, 1000});
  c->tell({4, 500});
  CHECK(a->others().sessions == 7);
  CHECK(a->others().bytes == 1500);
  CHECK(b->others().sessions == 4);
  b.reset();
  CHECK(a->others().sessions == 4);
  b = start();  // in the same place
  CHECK(a->others().sessions == 4);
}

TEST_CASE_FIXTURE(Shared,
                  "there is room for so many processes and no more, and a folder that is not there is told") {
  std::vector<std::unique_ptr<Together>> all;
  for (int i = 0; i < Together::kMost; ++i) all.push_back(start());
  CHECK_THROWS_AS(start(), std::system_error);
  all.pop_back();
  CHECK_NOTHROW(start());
  CHECK_THROWS_AS(Together("/nowhere/at/all"), std::system_error);
}

TEST_CASE("what is set aside for others is not given out, and what was given stays") {
  dispatch::Budget budget(10);
  dispatch::Reservation six, more;
  REQUIRE(budget.try_reserve(six, 6));
  budget.set_aside(3);
  CHECK_FALSE(budget.try_reserve(more, 2));
  CHECK(budget.try_reserve(more, 1));
  budget.set_aside(100);
  CHECK_FALSE(budget.try_reserve(more, 1));
  CHECK(budget.reserved() == 7);
  budget.set_aside(0);
  CHECK(budget.try_reserve(more, 3));
}

TEST_CASE("two processes beside each other stay within the descriptors of one") {
  for (const std::size_t sockets : {128u, 256u, 384u, 1024u}) {
    config::Limits limits;
    limits.sockets = sockets, limits.processes = 2, limits.door = 20;
    const std::size_t own = limits.links() + config::Limits::kOtherDescriptors + limits.door;
    CHECK(2 * own + limits.sessions() <= sockets);
  }
}

}  // namespace
}  // namespace yokestream::test
