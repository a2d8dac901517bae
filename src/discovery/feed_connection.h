// One connection to the control feed, read without blocking. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "config/members.h"
#include "net/socket.h"
#include "protocol/sse.h"

namespace yokestream::discovery {

class FeedConnection {
 public:
  // Starts to connect. Events after `last_event` are requested.
  FeedConnection(const config::Endpoint& feed, std::uint64_t last_event, net::Time now);

  bool was_established() const { return established_; }
  bool is_receiving() const { return state_ == State::receiving; }  // at least one byte has come
  bool has_ended() const { return state_ == State::ended; }
  const std::string& end_cause() const { return end_cause_; }
  int descriptor() const { return socket_.descriptor(); }
  short awaited_events() const;  // for poll()
  // When the connection is to be given up, or has been; Time::max(): not as long as it is open.
  net::Time due() const;
  // The descriptor is ready: connects on, or reads what there is. Throws protocol::ProtocolError.
  void on_ready(net::Time now);
  // The next event that has been received as a whole. Throws protocol::ProtocolError.
  std::optional<protocol::SseEvent> next_event() { return reader_.next(); }
  // True once a new event of this connection has been posted: from then on no number may be missing.
  bool has_posted() const { return has_posted_; }
  void set_posted() { has_posted_ = true; }
  bool has_received_end() const { return reader_.ended(); }  // of the response
  void end(std::string cause) {
    state_ = State::ended;
    end_cause_ = std::move(cause);
  }

 private:
  enum class State { connecting, waiting_for_first_byte, receiving, ended };

  void subscribe(net::Time now);
  void receive(net::Time now);

  const std::string subscription_;
  net::Socket socket_;
  State state_ = State::connecting;
  bool established_ = false;
  std::string end_cause_;
  net::Time last_progress_;
  protocol::SseReader reader_;
  bool has_posted_ = false;
};

}  // namespace yokestream::discovery
