// Budgets for a deadline hour, proposed: a linear programme (GLPK) over what is expected to be asked for.
//
//   x[t,c]  engine-seconds a second served of team t's class c: 0 to what is asked for
//   s[t]    what is missing of t's floor
//   most    sum of x[t,c] x worth[c] / work[t,c]  -  kFloorPrice x sum of s[t]
//   with    all x together at most the engines' capacity; a team's x at most its ceiling and, with s[t], at
//           least its floor (no more than what is asked for); the same for a group over its teams
// A team's budget is what it is served, times the span. Floors that cannot be met together show as s > 0.
//
// Pure: values in, values out; throws std::invalid_argument for what makes no sense. Not linked into `serve`.
#pragma once

#include <string>
#include <vector>

#include "scheduler/settings.h"

namespace yokestream::budget_planner {

struct Expected {  // a stream of requests
  std::size_t team = 0, cls = 0;
  double per_s = 0;   // requests a second
  double work_s = 0;  // engine-seconds a request
};
struct Question {
  double cores = 1;   // that the engines have
  double use = 0.85;  // part of them that work gets; 0 to 1
  std::vector<scheduler::Team> teams;
  std::vector<double> worth;  // by class
  std::vector<Expected> traffic;
};
struct Proposal {
  struct Share {
    double asked = 0, served = 0;  // engine-seconds a second
    double missing = 0;            // of its floor, the same
  };
  std::vector<Share> teams;  // by position
  double worth = 0;          // a second
  double missing = 0;        // of all floors
};

Proposal propose(const Question& question);

// CSV: a heading, then owner,class,per_s,work_s. Throws std::runtime_error naming the line.
std::vector<Expected> read_expected(const std::string& text, const std::vector<std::string>& owners,
                                    const std::vector<std::string>& classes,
                                    const std::vector<std::size_t>& team_of);
// The proposal as a part of an operator file, Jsonnet; floors that cannot be met are told in comments.
std::string to_jsonnet(const Question& question, const Proposal& proposal, policy::Duration span);

}  // namespace yokestream::budget_planner
