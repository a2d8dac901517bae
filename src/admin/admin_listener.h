// The admin listener: a further address on which operators and the platform's front end query and control
// this process.
//
// One thread of its own reads all connections and answers from what the dispatcher's thread has published, so
// that no caller waits for a busy dispatcher, and the dispatcher never for a caller. The words `evacuate` and
// `activate` of the wire start and end draining: they set a flag that the dispatcher's loop applies.
//
// Bounds: kMaxConnections at once (a new one replaces the oldest), each with a time limit and one line of
// bounded length.
//
// Threads: publish() and drain_requested() may be called by any thread.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "dispatch/ports.h"
#include "metrics/metrics.h"
#include "net/poller.h"
#include "protocol/management_call.h"

namespace yokestream::admin {

// What the dispatcher's thread publishes about this process.
enum class ServingState { starting, ready, draining, shutting_down };

class AdminListener {
 public:
  static constexpr std::size_t kMaxConnections = 16;
  // With its listening socket, its poller's two and a connection that is being accepted.
  static constexpr std::size_t kMaxDescriptors = kMaxConnections + 4;

  // Listens from now on; throws std::system_error. `metrics` outlives this. `on_first_ready`: called once, by
  // this listener's thread, before the first `readyz` is answered with success.
  AdminListener(const config::Endpoint& endpoint, const metrics::Metrics& metrics,
                std::function<void()> on_first_ready);
  ~AdminListener();  // closes all connections; joins
  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;

  [[nodiscard]] config::Endpoint endpoint() const;
  void publish(ServingState state) { state_ = state; }
  // Whether the operators' last request was to drain.
  [[nodiscard]] bool drain_requested() const { return drain_requested_; }

 private:
  class Connection;
  class Acceptor;
  std::string answer(const protocol::ManagementCall& call);
  std::string answer_readyz();
  std::string set_drain_requested(bool requested);
  void add_connection(net::Fd fd);
  void remove_connection(const Connection* connection);

  const metrics::Metrics& metrics_;
  const std::function<void()> on_first_ready_;
  std::atomic<ServingState> state_{ServingState::starting};  // written by the dispatcher's thread
  std::atomic<bool> drain_requested_{false};                 // written by the poller's thread
  // The poller's thread only.
  bool has_been_ready_ = false;
  std::deque<std::shared_ptr<Connection>> connections_;  // oldest first
  std::shared_ptr<Acceptor> acceptor_;                   // set once, before the poller's thread starts
  net::Poller poller_;                                   // last: its thread uses the rest
};

}  // namespace yokestream::admin
