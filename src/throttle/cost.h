// What a request costs, in seconds of one core: the told estimate, corrected by what its kind really cost.
//
// The kind is the class, and the member and the class together once that pair has a few outcomes: a member
// that tells a tenth of the truth is charged the truth soon. Where nothing is told, the mean of the kind
// counts. Memory: one record for each pair of member and class, and one a class for whoever is no member
// (an owner the settings do not name); a class out of range counts as the last. Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace yokestream::throttle {

class Cost {
 public:
  Cost(std::size_t members, std::size_t classes);
  double charge(std::size_t member, std::size_t cls, double told) const;  // told 0: not told
  // What it really cost, 0: not told; and what was told before.
  void learn(std::size_t member, std::size_t cls, double told, double real);

 private:
  struct Kind {
    double count = 0, factor = 0, mean = 0;  // factor: mean logarithm of real over told
  };
  static void take(Kind& kind, double told, double real);
  std::size_t kind(std::size_t cls) const { return std::min(cls, classes_ - 1); }
  // Who is no member shares the slot after the last member.
  std::size_t pair(std::size_t member, std::size_t cls) const {
    return std::min(member, members_) * classes_ + kind(cls);
  }

  std::size_t members_, classes_;
  std::vector<Kind> kinds_, pairs_;
};

}  // namespace yokestream::throttle
