// The planner against what can be worked out by hand and against a plain greedy reference.
#include "budget_planner/budget_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace yokestream::test {
namespace {

using namespace budget_planner;

Question question_of(std::size_t teams) {
  Question q;
  q.cores = 10, q.use = 1;
  q.worth = {1, 8};
  for (std::size_t i = 0; i < teams; ++i) {
    scheduler::Team t;
    t.name = "t" + std::to_string(i);
    q.teams.push_back(t);
  }
  return q;
}

TEST_CASE("without floors what is worth most for its work goes first, as a plain sort has it") {
  std::mt19937_64 random(4);
  for (int i = 0; i < 50; ++i) {
    Question q = question_of(3);
    for (int k = 0; k < 6; ++k)
      q.traffic.push_back({random() % 3, random() % 2, 1 + static_cast<double>(random() % 30),
                           0.05 * static_cast<double>(1 + random() % 40)});
    std::vector<Expected> sorted = q.traffic;
    std::sort(sorted.begin(), sorted.end(), [&](const Expected& a, const Expected& b) {
      return q.worth[a.cls] / a.work_s > q.worth[b.cls] / b.work_s;
    });
    double left = 10, worth = 0;
    for (const Expected& e : sorted) {
      const double x = std::min(left, e.per_s * e.work_s);
      left -= x, worth += x * q.worth[e.cls] / e.work_s;
    }
    CHECK(propose(q).worth == doctest::Approx(worth));
  }
}

TEST_CASE("floors come before worth, ceilings hold, groups count their teams") {
  Question q = question_of(3);
  q.traffic = {{0, 0, 200, 0.1}, {1, 1, 100, 4}};  // lookups are worth 10 an engine-second, reports 2
  q.teams[1].floor = 0.3;
  auto p = propose(q);
  CHECK(p.teams[0].served == doctest::Approx(7));
  CHECK(p.teams[1].served == doctest::Approx(3));
  CHECK(p.missing == doctest::Approx(0));
  q.teams[0].ceiling = 0.4;
  p = propose(q);
  CHECK(p.teams[0].served == doctest::Approx(4));
  CHECK(p.teams[1].served == doctest::Approx(6));
  q.teams[0].group = q.teams[1].group = "t2";
  q.teams[2].ceiling = 0.5;
  p = propose(q);
  CHECK(p.teams[0].served + p.teams[1].served == doctest::Approx(5));
  CHECK(p.teams[1].served >= 3 - 1e-6);
}

TEST_CASE("floors that cannot be met together are named with what is missing, and a budget is printed") {
  Question q = question_of(2);
  q.traffic = {{0, 0, 200, 0.1}, {1, 1, 100, 4}};
  q.teams[0].floor = 0.8, q.teams[1].floor = 0.5;
  const auto p = propose(q);
  CHECK(p.missing == doctest::Approx(3));
  const std::string text = to_jsonnet(q, p, std::chrono::seconds(60));
  CHECK(text.find("cannot be met together: 3.000") != std::string::npos);
  CHECK(text.find("missing of its floor") != std::string::npos);
  CHECK(text.find("'t0'+: { budget_s:") != std::string::npos);
  q.cores = 0;
  CHECK_THROWS_AS(propose(q), std::invalid_argument);
}

TEST_CASE("expected traffic: a wrong line is named") {
  const std::vector<std::string> owners{"a", "b"}, classes{"look"};
  const auto good = read_expected("owner,class,per_s,work_s\nb,look,3,0.5\n", owners, classes, {1, 2});
  REQUIRE(good.size() == 1);
  CHECK(good[0].team == 2);
  for (const char* text :
       {"x,look,1,1", "a,nothing,1,1", "a,look,1", "a,look,one,1", "a,look,-1,1", "a,look,1,0"}) {
    CAPTURE(text);
    CHECK_THROWS_WITH_AS(read_expected(std::string("# first\n") + text, owners, classes, {0, 0}),
                         doctest::Contains("line 2"), std::runtime_error);
  }
}

}  // namespace
}  // namespace yokestream::test
