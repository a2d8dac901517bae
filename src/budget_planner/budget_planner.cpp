#include "budget_planner/budget_planner.h"

#include <fmt/format.h>
#include <glpk.h>

#include <algorithm>
#include <memory>
#include <stdexcept>

#include "base/csv.h"

namespace yokestream::budget_planner {
namespace {

// Per engine-second of shortfall; more than the value of any request, so that floors come first.
constexpr double kFloorPenalty = 1e6;
constexpr double kNegligible = 1e-9;  // engine-seconds per second

struct ProblemDeleter {
  void operator()(glp_prob* problem) const { glp_delete_prob(problem); }
};

// A GLPK problem that is built column by column and row by row; GLPK counts from one.
class LinearProgramme {
 public:
  LinearProgramme() : problem_(glp_create_prob()) { glp_set_obj_dir(problem_.get(), GLP_MAX); }
  // Adds a variable between 0 and `upper_bound` and returns its index.
  int add_column(double upper_bound, double objective_coefficient) {
    const int column = glp_add_cols(problem_.get(), 1);
    glp_set_col_bnds(problem_.get(), column, upper_bound > 0 ? GLP_DB : GLP_FX, 0,
                     std::max(0.0, upper_bound));
    glp_set_obj_coef(problem_.get(), column, objective_coefficient);
    return column;
  }
  // Bounds the sum of the columns. `bound_type` is GLP_UP or GLP_LO and tells which bound counts.
  void add_row(const std::vector<int>& columns, int bound_type, double lower_bound, double upper_bound) {
    if (columns.empty()) return;
    const int row = glp_add_rows(problem_.get(), 1);
    glp_set_row_bnds(problem_.get(), row, bound_type, lower_bound, upper_bound);
    std::vector<int> indices{0};
    std::vector<double> coefficients{0};
    for (const int column : columns) indices.push_back(column), coefficients.push_back(1);
    glp_set_mat_row(problem_.get(), row, static_cast<int>(columns.size()), indices.data(),
                    coefficients.data());
  }
  void solve() {
    glp_smcp parameters;
    glp_init_smcp(&parameters);
    parameters.msg_lev = GLP_MSG_OFF;
    parameters.presolve = GLP_ON;
    if (glp_simplex(problem_.get(), &parameters) != 0 || glp_get_status(problem_.get()) != GLP_OPT)
      throw std::runtime_error("the linear programme has no optimal solution");
  }
  double value(int column) const { return glp_get_col_prim(problem_.get(), column); }

 private:
  std::unique_ptr<glp_prob, ProblemDeleter> problem_;
};

// The node itself and, if it is a group, its teams.
std::vector<std::size_t> with_teams_of(const std::vector<scheduler::Team>& teams, std::size_t node) {
  std::vector<std::size_t> members{node};
  for (std::size_t i = 0; i < teams.size(); ++i) {
    if (!teams[i].group.empty() && teams[i].group == teams[node].name) members.push_back(i);
  }
  return members;
}

}  // namespace

BudgetPlan plan_budgets(const PlanInput& input) {
  const double capacity = input.cores * input.utilization;
  if (!(capacity > 0)) throw std::invalid_argument("cores: the engines' capacity must be above 0");
  const std::size_t count = input.teams.size();
  LinearProgramme programme;
  BudgetPlan plan;
  plan.teams.resize(count);
  std::vector<std::vector<int>> served_columns(count);
  std::vector<int> all_columns, shortfall_columns(count);
  for (const TrafficStream& stream : input.traffic) {
    if (stream.team >= count || stream.query_class >= input.class_values.size())
      throw std::invalid_argument("traffic: unknown team or class");
    if (!(stream.work_s > 0) || stream.per_s < 0)
      throw std::invalid_argument("traffic: work_s must be above 0 and per_s at least 0");
    const double demand = stream.per_s * stream.work_s;
    plan.teams[stream.team].demand += demand;
    served_columns[stream.team].push_back(
        programme.add_column(demand, input.class_values[stream.query_class] / stream.work_s));
    all_columns.push_back(served_columns[stream.team].back());
  }
  programme.add_row(all_columns, GLP_UP, 0, capacity);
  for (std::size_t i = 0; i < count; ++i) {
    std::vector<int> columns;
    double demand = 0;
    for (const std::size_t node : with_teams_of(input.teams, i)) {
      columns.insert(columns.end(), served_columns[node].begin(), served_columns[node].end());
      demand += plan.teams[node].demand;
    }
    const double floor = std::min(input.teams[i].floor * capacity, demand);
    if (!columns.empty()) programme.add_row(columns, GLP_UP, 0, input.teams[i].ceiling * capacity);
    shortfall_columns[i] = programme.add_column(floor, -kFloorPenalty);
    if (floor <= kNegligible) continue;
    columns.push_back(shortfall_columns[i]);
    programme.add_row(columns, GLP_LO, floor, 0);
  }
  programme.solve();
  std::size_t column = 0;
  for (const TrafficStream& stream : input.traffic) {
    const double served = programme.value(all_columns[column++]);
    plan.teams[stream.team].served += served;
    plan.value += served * input.class_values[stream.query_class] / stream.work_s;
  }
  for (std::size_t i = 0; i < count; ++i) {
    plan.teams[i].shortfall = std::max(0.0, programme.value(shortfall_columns[i]));
    plan.shortfall += plan.teams[i].shortfall;
  }
  return plan;
}

std::vector<TrafficStream> read_traffic(const std::string& text, const std::vector<std::string>& owners,
                                        const std::vector<std::string>& classes,
                                        const std::vector<std::size_t>& team_of) {
  std::vector<TrafficStream> traffic;
  csv::for_each_record(text, 4, [&](const csv::Cells& cells) {
    if (traffic.empty() && cells[0] == "owner") return;  // the heading
    const auto owner = std::find(owners.begin(), owners.end(), cells[0]);
    const auto query_class = std::find(classes.begin(), classes.end(), cells[1]);
    if (owner == owners.end()) throw std::runtime_error("unknown owner " + cells[0]);
    if (query_class == classes.end()) throw std::runtime_error("unknown class " + cells[1]);
    TrafficStream stream;
    stream.team = team_of.at(static_cast<std::size_t>(owner - owners.begin()));
    stream.query_class = static_cast<std::size_t>(query_class - classes.begin());
    stream.per_s = csv::parse_number(cells[2]);
    stream.work_s = csv::parse_number(cells[3]);
    if (!(stream.work_s > 0)) throw std::runtime_error("work_s must be above 0");
    traffic.push_back(stream);
  });
  return traffic;
}

std::string to_jsonnet(const PlanInput& input, const BudgetPlan& plan, policy::Duration span) {
  const double span_s = std::chrono::duration<double>(span).count();
  std::string text = "// Proposed by `yokestream plan`: merge it into the operator file.\n";
  text += fmt::format("// Engines give {:.2f} engine-seconds a second; this is worth {:.1f} a second.\n",
                      input.cores * input.utilization, plan.value);
  if (plan.shortfall > kNegligible) {
    text += fmt::format("// The floors cannot be met together: {:.3f} engine-seconds a second are missing.\n",
                        plan.shortfall);
    for (std::size_t i = 0; i < input.teams.size(); ++i) {
      if (plan.teams[i].shortfall > kNegligible)
        text += fmt::format("//   {}: {:.3f} missing of its floor\n", input.teams[i].name,
                            plan.teams[i].shortfall);
    }
  }
  text += fmt::format("{{\n  queues+: {{\n    span_ms: {},\n    teams+: {{\n",
                      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
  for (std::size_t i = 0; i < input.teams.size(); ++i) {
    double served = 0, demand = 0;
    for (const std::size_t node : with_teams_of(input.teams, i))
      served += plan.teams[node].served, demand += plan.teams[node].demand;
    if (demand <= kNegligible && input.teams[i].name == "rest") continue;
    text += fmt::format("      '{}'+: {{ budget_s: {:.1f} }},  // asked for: {:.1f}\n", input.teams[i].name,
                        served * span_s, demand * span_s);
  }
  return text + "    },\n  },\n}\n";
}

}  // namespace yokestream::budget_planner
