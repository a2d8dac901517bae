// The budget planner against results worked out by hand and against a greedy reference.
#include "budget_planner/budget_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace yokestream::test {
namespace {

using namespace budget_planner;

PlanInput input_with(std::size_t teams) {
  PlanInput input;
  input.cores = 10, input.utilization = 1;
  input.class_values = {1, 8};
  for (std::size_t i = 0; i < teams; ++i) {
    scheduler::Team team;
    team.name = "t" + std::to_string(i);
    input.teams.push_back(team);
  }
  return input;
}

TEST_CASE("without floors, streams are served by value per engine-second, as a greedy reference does") {
  std::mt19937_64 random(4);
  for (int i = 0; i < 50; ++i) {
    PlanInput input = input_with(3);
    for (int k = 0; k < 6; ++k)
      input.traffic.push_back({random() % 3, random() % 2, 1 + static_cast<double>(random() % 30),
                               0.05 * static_cast<double>(1 + random() % 40)});
    std::vector<TrafficStream> sorted = input.traffic;
    std::sort(sorted.begin(), sorted.end(), [&](const TrafficStream& a, const TrafficStream& b) {
      return input.class_values[a.query_class] / a.work_s > input.class_values[b.query_class] / b.work_s;
    });
    double capacity_left = 10, value = 0;
    for (const TrafficStream& stream : sorted) {
      const double served = std::min(capacity_left, stream.per_s * stream.work_s);
      capacity_left -= served, value += served * input.class_values[stream.query_class] / stream.work_s;
    }
    CHECK(plan_budgets(input).value == doctest::Approx(value));
  }
}

TEST_CASE("floors take precedence over value, ceilings hold, and groups include their teams") {
  PlanInput input = input_with(3);
  // Per engine-second, a request of team 0 is worth 10 and one of team 1 is worth 2.
  input.traffic = {{0, 0, 200, 0.1}, {1, 1, 100, 4}};
  input.teams[1].floor = 0.3;
  auto plan = plan_budgets(input);
  CHECK(plan.teams[0].served == doctest::Approx(7));
  CHECK(plan.teams[1].served == doctest::Approx(3));
  CHECK(plan.shortfall == doctest::Approx(0));
  input.teams[0].ceiling = 0.4;
  plan = plan_budgets(input);
  CHECK(plan.teams[0].served == doctest::Approx(4));
  CHECK(plan.teams[1].served == doctest::Approx(6));
  input.teams[0].group = input.teams[1].group = "t2";
  input.teams[2].ceiling = 0.5;
  plan = plan_budgets(input);
  CHECK(plan.teams[0].served + plan.teams[1].served == doctest::Approx(5));
  CHECK(plan.teams[1].served >= 3 - 1e-6);
}

TEST_CASE("floors that cannot be met together are reported with their shortfall, and budgets are printed") {
  PlanInput input = input_with(2);
  input.traffic = {{0, 0, 200, 0.1}, {1, 1, 100, 4}};
  input.teams[0].floor = 0.8, input.teams[1].floor = 0.5;
  const auto plan = plan_budgets(input);
  CHECK(plan.shortfall == doctest::Approx(3));
  const std::string text = to_jsonnet(input, plan, std::chrono::seconds(60));
  CHECK(text.find("cannot be met together: 3.000") != std::string::npos);
  CHECK(text.find("missing of its floor") != std::string::npos);
  CHECK(text.find("'t0'+: { budget_s:") != std::string::npos);
  input.cores = 0;
  CHECK_THROWS_AS(plan_budgets(input), std::invalid_argument);
}

TEST_CASE("read_traffic names the line of an invalid entry") {
  const std::vector<std::string> owners{"a", "b"}, classes{"look"};
  const auto traffic = read_traffic("owner,class,per_s,work_s\nb,look,3,0.5\n", owners, classes, {1, 2});
  REQUIRE(traffic.size() == 1);
  CHECK(traffic[0].team == 2);
  for (const char* text :
       {"x,look,1,1", "a,nothing,1,1", "a,look,1", "a,look,one,1", "a,look,-1,1", "a,look,1,0"}) {
    CAPTURE(text);
    CHECK_THROWS_WITH_AS(read_traffic(std::string("# first\n") + text, owners, classes, {0, 0}),
                         doctest::Contains("line 2"), std::runtime_error);
  }
}

}  // namespace
}  // namespace yokestream::test
