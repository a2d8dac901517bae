// The admin listener: a second address on which operators and the platform's front end query and control this
// process.
// A dedicated thread reads all connections and answers from the state that the dispatcher thread has
// published, so callers and the dispatcher never wait for each other. The wire commands `evacuate` and
// `activate` start and end draining: they set a flag that the dispatcher loop applies. Limits: at most
// kMaxConnections at once (a new one replaces the oldest), each with a timeout and one request line of
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

// The state of this process, as published by the dispatcher thread.
enum class ServingState { starting, ready, draining, shutting_down };

class AdminListener {
 public:
  static constexpr std::size_t kMaxConnections = 16;
  // The connections, the listening socket, two descriptors of the poller and a connection being accepted.
  static constexpr std::size_t kMaxDescriptors = kMaxConnections + 4;

  // Starts to listen. Throws std::system_error. `metrics` must outlive this object. `on_first_ready` is
  // called once, on
  // this listener's thread, before the first `readyz` is answered with success.
  AdminListener(const config::Endpoint& endpoint, const metrics::Metrics& metrics,
                std::function<void()> on_first_ready);
  ~AdminListener();  // closes all connections and joins the thread
  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;

  [[nodiscard]] config::Endpoint endpoint() const;
  void publish(ServingState state) { state_ = state; }
  // True if the last request of the operators was to drain.
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
  std::atomic<ServingState> state_{ServingState::starting};  // written by the dispatcher thread
  std::atomic<bool> drain_requested_{false};                 // written by the poller thread
  // Poller thread only.
  bool has_been_ready_ = false;
  std::deque<std::shared_ptr<Connection>> connections_;  // oldest first
  std::shared_ptr<Acceptor> acceptor_;                   // set once, before the poller thread starts
  net::Poller poller_;                                   // declared last: its thread uses the other members
};

}  // namespace yokestream::admin
