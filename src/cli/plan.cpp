// yokestream-plan: what `yokestream plan` runs. A program of its own, so that `serve` links no solver.
#include <CLI/CLI.hpp>
#include <iostream>

#include "base/csv.h"
#include "budget_planner/budget_planner.h"
#include "operator/operator_file.h"

namespace {

using namespace yokestream;

int plan(const std::string& config, const std::string& operators, const std::string& traffic, double cores,
         double use) {
  const auto both = operator_file::read_both(config, operators);
  const std::string text = csv::read_file(traffic);
  budget_planner::PlanInput question;
  question.cores = cores, question.utilization = use;
  question.teams = both.operators.queues.teams;
  for (const auto& cls : both.config.settings.classes) question.class_values.push_back(cls.priority_weight);
  try {
    question.traffic = budget_planner::read_traffic(text, both.config.real.tenants, both.config.real.classes,
                                                    both.operators.queues.team_of);
  } catch (const std::runtime_error& problem) {
    throw config::ConfigError(traffic, problem.what());
  }
  const auto proposal = budget_planner::plan_budgets(question);
  std::cout << budget_planner::to_jsonnet(question, proposal, both.operators.queues.budget_period);
  return proposal.shortfall > 1e-9 ? 2 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Proposes budgets for a deadline hour; prints a part of an operator file");
  std::string config, operators, traffic;
  double cores = 0, use = 0.85;
  app.add_option("-c,--config", config, "the platform's configuration, a JSON file")->required();
  app.add_option("-o,--operator", operators, "the operator file: teams, floors, ceilings");
  app.add_option("-t,--traffic", traffic, "what is expected: CSV, owner,class,per_s,work_s")->required();
  app.add_option("--cores", cores, "that the engines have together")
      ->required()
      ->check(CLI::Range(0.01, 1e6));
  app.add_option("--use", use, "part of them that work gets")->check(CLI::Range(0.01, 1.0));
  CLI11_PARSE(app, argc, argv);
  try {
    return plan(config, operators, traffic, cores, use);
  } catch (const std::exception& problem) {
    std::cerr << "yokestream plan: " << problem.what() << std::endl;
    return 1;
  }
}
