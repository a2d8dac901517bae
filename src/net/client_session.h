// One client connection (MessagePack-RPC): its messages become events, the core's responses are written to
// it. A second client protocol would be a class like this one.
//
// It is read by the client poller's thread (poller.h) while it has had few results, or is idle, and by a
// reader thread of its own while it is a busy client and one is available; never by both. Responses are
// written by the core's thread, which never waits, and by the poller for slow writers while the client is
// slow to read (sender.h). Owned by the server's session table; pollers share ownership while it is
// registered with them.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.h"
#include "net/events.h"
#include "net/message_credits.h"
#include "net/message_queue.h"
#include "net/poller.h"
#include "net/rate_limiter.h"
#include "net/sender.h"
#include "net/thread.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

// The reader threads that busy clients may have, where a client returns to that needs none any more, and the
// poller that writes to slow clients.
struct ReaderPool {
  dispatch::Budget reader_slots;
  Poller& client_poller;
  Poller& slow_writer_poller;
};

class ClientSession : public Pollable, public std::enable_shared_from_this<ClientSession> {
 public:
  // `connection_slot`: of the bounded number of connections. Incomplete messages are reserved from `budget`.
  ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation connection_slot,
                const config::RealSettings& settings, dispatch::Budget& budget, DispatcherQueue& inbox,
                ReaderPool& reader_pool, dispatch::Log& log);
  ~ClientSession() override;  // aborts the connection and joins its reader

  // For the client poller's thread.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time now, bool is_ready) override;
  Time next_due() const override { return next_due_; }
  void on_closed() override;  // notifies the core, with close_cause_; also called by the reader thread

  // For the core's thread.
  void send_result(dispatch::CallId call, dispatch::Result result);
  void send_rejection(dispatch::CallId call, Duration retry_after);
  void send_failure(dispatch::CallId call, std::string_view cause);
  void send_readiness(dispatch::CallId call, bool is_ready);
  void attach_quote(dispatch::CallId call, const scheduler::Quote& quote);  // sent with the result
  void send_quote(dispatch::CallId call, const scheduler::Quote& quote);
  void release_message_credit() { credits_.release(); }  // the core has handled one of its messages
  // Nothing more is read or written. `cause`: a static text, logged where responses were still unwritten.
  void abort(const char* cause);
  // False: a message or a response is on its way.
  bool abort_if_idle();
  // The write side is shut down once all responses are written.
  void close_after_writes() { sender_.close_after_writes(); }
  // The same, unless a message of it is still on its way to the core.
  void close_after_writes_if_settled();
  // Has the client closed the connection, though nobody has read that yet?
  bool peer_has_closed() const { return socket_.peer_has_closed(); }

 private:
  struct Item {
    std::string bytes;
    dispatch::Reservation memory_reservation;
  };
  static constexpr std::size_t kMaxAttachedQuotes =
      64;                                       // more than the core allows open requests of a session
  static constexpr int kBusyClientResults = 2;  // a client that sends one request and stays is not busy

  void enqueue(std::string bytes, dispatch::Reservation memory_reservation, std::size_t counted_bytes);
  void enqueue_bytes(std::string bytes);
  enum class ReadOutcome { would_block, data, closed };
  ReadOutcome read_available();
  void decode_pending();
  // Sets the deadline of an incomplete message and reserves its bytes. False: no memory for more of it now.
  bool reserve_partial_message();
  void post_next();
  PollResult post_all(Time now);  // wait_readable: all decoded messages are posted
  PollResult back_off(Time now, Time until);
  PollResult read_and_post(Time now);
  PollResult stop_reading(Time now, const std::string& cause);
  PollResult wait_for_close(Time now);
  // Starts the reader thread of a busy client. False: it needs none, or none is available, and the client
  // poller goes on reading it.
  bool start_reader();
  bool run_reader();  // true: back to the client poller, false: closed

  const dispatch::SessionId id_;
  const dispatch::Reservation connection_slot_;
  const config::RealSettings& settings_;
  dispatch::Budget& budget_;
  DispatcherQueue& inbox_;
  ReaderPool& reader_pool_;
  dispatch::Log& log_;
  Socket socket_;
  MessageCredits credits_;  // its messages on their way to the core
  std::atomic<int> results_sent_{0};
  std::atomic<bool> has_unposted_bytes_{false};  // read bytes of which the core has no event yet
  // Reading thread only: the client poller, or its reader thread.
  protocol::MsgpackReader reader_;
  MessageQueue messages_;
  std::optional<std::string> protocol_error_;          // found behind the queued messages
  bool reading_stopped_ = false;                       // responses are still written
  Time close_deadline_ = Time::max();                  // after reading_stopped_: closed then at the latest
  dispatch::Reservation partial_message_reservation_;  // bytes
  dispatch::Reservation reader_reservation_;           // one reader of reader_pool_
  RateLimiter rate_limiter_;
  Time message_deadline_ = Time::max();  // by then a message that has begun must be complete
  Time next_due_ = Time::max();
  Time last_read_at_{};                               // arrival of the last bytes read
  std::optional<Time> unread_since_;                  // not read since then, though bytes may have come
  const char* close_cause_ = "closed by its client";  // as reported by on_closed()
  std::map<dispatch::CallId, scheduler::Quote> attached_quotes_;  // core thread only
  Sender<Item> sender_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
