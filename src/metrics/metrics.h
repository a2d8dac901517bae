// What the program counts of itself, for the operators' door.
//
// Owns one registry of counters and gauges, and their names on the wire. Every count starts at 0 with the
// process. Never decides anything, and reads no clock. Any thread may call: a count is one atomic addition;
// text() takes a lock that no counting takes. Memory: a few hundred bytes a class, fixed at the start.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace yokestream::metrics {

enum class RequestOutcome { served, rejected, failed };  // of a request, as its client heard it

class Metrics {
 public:
  explicit Metrics(const std::vector<std::string>& classes);
  ~Metrics();

  void count_request(std::size_t query_class,
                     RequestOutcome outcome);  // a request of the class of this position has its final answer
  void count_attempt();                        // written whole to an engine
  void set_in_flight(std::size_t requests);    // taken and not ended
  void set_engines(std::size_t known, std::size_t excluded);

  // All figures, each on a line of its own: `edge_relay.NAME:VALUE|c` for counts, `|g` for what goes up and
  // down.
  std::string text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yokestream::metrics
