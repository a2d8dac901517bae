// Counters and gauges of this process, which the management port exports as text.
//
// All values start at 0 with the process. Metrics makes no decisions and reads no clock. Thread-safe: an
// update is one atomic operation, the first of some counters takes a lock; text() takes a lock that other
// updates do not take. Memory is allocated once, a
// few hundred bytes per class.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace yokestream::metrics {

enum class RequestOutcome { served, rejected, failed };  // as reported to the client

// Why a request was rejected, by the part that rejected it.
enum class RejectionCause {
  not_serving,        // this process is draining or shutting down
  open_requests,      // the limit on open requests of the process
  client_limit,       // the limit on open requests of one client
  client_rate,        // a client without a result sent faster than it may
  memory,             // the memory for statements and results
  throttle,           // an admission stage
  scheduler,          // an admission stage
  route_closed,       // its area may be sent nowhere
  policy,             // the decision module
  shutdown_deadline,  // still open at the end of a shutdown
};

class Metrics {
 public:
  explicit Metrics(const std::vector<std::string>& classes);
  ~Metrics();

  // Counts a request that has received its final answer. `query_class` is the position of its class in the
  // list that was passed to the constructor.
  void count_request(std::size_t query_class, RequestOutcome outcome);
  // The two counters below have no line in text() before they have counted something.
  void count_rejection(RejectionCause cause);
  // This process closed a client's connection although requests of the client were pending.
  void count_close_with_pending_requests();
  void count_attempt();                      // an attempt was completely written to an engine
  void set_in_flight(std::size_t requests);  // accepted and not yet finished
  void set_engines(std::size_t known, std::size_t excluded);

  // Returns all metrics, one per line: `edge_relay.NAME:VALUE|c` for counters and `|g` for gauges.
  std::string text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yokestream::metrics
