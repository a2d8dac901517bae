#include "budget_planner/budget_planner.h"

#include <fmt/format.h>
#include <glpk.h>

#include <algorithm>
#include <memory>
#include <stdexcept>

#include "base/csv.h"

namespace yokestream::budget_planner {
namespace {

constexpr double kFloorPrice = 1e6;  // worth a missing engine-second: more than any request's
constexpr double kNothing = 1e-9;

struct Delete {
  void operator()(glp_prob* p) const { glp_delete_prob(p); }
};

// Rows and columns as they are added; GLPK counts from one.
class Programme {
 public:
  Programme() : problem_(glp_create_prob()) { glp_set_obj_dir(problem_.get(), GLP_MAX); }
  int column(double most, double worth) {
    const int c = glp_add_cols(problem_.get(), 1);
    glp_set_col_bnds(problem_.get(), c, most > 0 ? GLP_DB : GLP_FX, 0, std::max(0.0, most));
    glp_set_obj_coef(problem_.get(), c, worth);
    return c;
  }
  void row(const std::vector<int>& columns, int bound, double least, double most) {
    if (columns.empty()) return;
    const int r = glp_add_rows(problem_.get(), 1);
    glp_set_row_bnds(problem_.get(), r, bound, least, most);
    std::vector<int> at{0};
    std::vector<double> ones{0};
    for (const int c : columns) at.push_back(c), ones.push_back(1);
    glp_set_mat_row(problem_.get(), r, static_cast<int>(columns.size()), at.data(), ones.data());
  }
  void solve() {
    glp_smcp how;
    glp_init_smcp(&how);
    how.msg_lev = GLP_MSG_OFF;
    how.presolve = GLP_ON;
    if (glp_simplex(problem_.get(), &how) != 0 || glp_get_status(problem_.get()) != GLP_OPT)
      throw std::runtime_error("the programme has no solution");
  }
  double value(int column) const { return glp_get_col_prim(problem_.get(), column); }

 private:
  std::unique_ptr<glp_prob, Delete> problem_;
};

std::vector<std::size_t> with_teams_of(const std::vector<scheduler::Team>& teams, std::size_t node) {
  std::vector<std::size_t> out{node};
  for (std::size_t i = 0; i < teams.size(); ++i) {
    if (!teams[i].group.empty() && teams[i].group == teams[node].name) out.push_back(i);
  }
  return out;
}

}  // namespace

Proposal propose(const Question& question) {
  const double capacity = question.cores * question.use;
  if (!(capacity > 0)) throw std::invalid_argument("cores: the engines have none");
  const std::size_t count = question.teams.size();
  Programme programme;
  Proposal out;
  out.teams.resize(count);
  std::vector<std::vector<int>> served(count);
  std::vector<int> all, missing(count);
  for (const Expected& e : question.traffic) {
    if (e.team >= count || e.cls >= question.worth.size())
      throw std::invalid_argument("traffic: no such team or class");
    if (!(e.work_s > 0) || e.per_s < 0) throw std::invalid_argument("traffic: work_s must be above 0");
    const double asked = e.per_s * e.work_s;
    out.teams[e.team].asked += asked;
    served[e.team].push_back(programme.column(asked, question.worth[e.cls] / e.work_s));
    all.push_back(served[e.team].back());
  }
  programme.row(all, GLP_UP, 0, capacity);
  for (std::size_t i = 0; i < count; ++i) {
    std::vector<int> mine;
    double asked = 0;
    for (const std::size_t node : with_teams_of(question.teams, i)) {
      mine.insert(mine.end(), served[node].begin(), served[node].end());
      asked += out.teams[node].asked;
    }
    const double floor = std::min(question.teams[i].floor * capacity, asked);
    if (!mine.empty()) programme.row(mine, GLP_UP, 0, question.teams[i].ceiling * capacity);
    missing[i] = programme.column(floor, -kFloorPrice);
    if (floor <= kNothing) continue;
    mine.push_back(missing[i]);
    programme.row(mine, GLP_LO, floor, 0);
  }
  programme.solve();
  std::size_t stream = 0;
  for (const Expected& e : question.traffic) {
    const double x = programme.value(all[stream++]);
    out.teams[e.team].served += x;
    out.worth += x * question.worth[e.cls] / e.work_s;
  }
  for (std::size_t i = 0; i < count; ++i) {
    out.teams[i].missing = std::max(0.0, programme.value(missing[i]));
    out.missing += out.teams[i].missing;
  }
  return out;
}

std::vector<Expected> read_expected(const std::string& text, const std::vector<std::string>& owners,
                                    const std::vector<std::string>& classes,
                                    const std::vector<std::size_t>& team_of) {
  std::vector<Expected> out;
  csv::for_each_record(text, 4, [&](const csv::Cells& cells) {
    if (out.empty() && cells[0] == "owner") return;  // the heading
    const auto owner = std::find(owners.begin(), owners.end(), cells[0]);
    const auto cls = std::find(classes.begin(), classes.end(), cells[1]);
    if (owner == owners.end()) throw std::runtime_error("no owner " + cells[0]);
    if (cls == classes.end()) throw std::runtime_error("no class " + cells[1]);
    Expected e;
    e.team = team_of.at(static_cast<std::size_t>(owner - owners.begin()));
    e.cls = static_cast<std::size_t>(cls - classes.begin());
    e.per_s = csv::parse_number(cells[2]);
    e.work_s = csv::parse_number(cells[3]);
    if (!(e.work_s > 0)) throw std::runtime_error("work_s must be above 0");
    out.push_back(e);
  });
  return out;
}

std::string to_jsonnet(const Question& question, const Proposal& proposal, policy::Duration span) {
  const double span_s = std::chrono::duration<double>(span).count();
  std::string out = "// Proposed by `yokestream plan`: merge it into the operator file.\n";
  out += fmt::format("// Engines give {:.2f} engine-seconds a second; this is worth {:.1f} a second.\n",
                     question.cores * question.use, proposal.worth);
  if (proposal.missing > kNothing) {
    out += fmt::format("// The floors cannot be met together: {:.3f} engine-seconds a second are missing.\n",
                       proposal.missing);
    for (std::size_t i = 0; i < question.teams.size(); ++i) {
      if (proposal.teams[i].missing > kNothing)
        out += fmt::format("//   {}: {:.3f} missing of its floor\n", question.teams[i].name,
                           proposal.teams[i].missing);
    }
  }
  out += fmt::format("{{\n  queues+: {{\n    span_ms: {},\n    teams+: {{\n",
                     std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
  for (std::size_t i = 0; i < question.teams.size(); ++i) {
    double served = 0, asked = 0;
    for (const std::size_t node : with_teams_of(question.teams, i))
      served += proposal.teams[node].served, asked += proposal.teams[node].asked;
    if (asked <= kNothing && question.teams[i].name == "rest") continue;
    out += fmt::format("      '{}'+: {{ budget_s: {:.1f} }},  // asked for: {:.1f}\n", question.teams[i].name,
                       served * span_s, asked * span_s);
  }
  return out + "    },\n  },\n}\n";
}

}  // namespace yokestream::budget_planner
