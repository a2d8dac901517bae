// One client connection: what it reads becomes events, what it is answered leaves. MessagePack-RPC; a second
// client protocol would be a class like this one.
//
// It is read by the lobby's thread (poller.h) while it has not been served often, or is idle, and by a reader
// of its own while it is a busy client and there is one to be had; never by both. Answers are written by the
// core's thread, which never waits, and by the writer's thread while the client is slow (sender.h).
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.h"
#include "net/events.h"
#include "net/message_queue.h"
#include "net/poller.h"
#include "net/rate_limiter.h"
#include "net/sender.h"
#include "net/thread.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

// The readers of their own that clients may have, together, and where a client goes that needs none any more;
// and who writes to clients that are slow.
struct ReaderPool {
  dispatch::Budget reader_slots;
  Poller& client_poller;
  Poller& slow_writer_poller;
};

class ClientSession : public Pollable, public std::enable_shared_from_this<ClientSession> {
 public:
  // `slot` is its place among the connections that may be there; what it reads is taken from `budget`.
  ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation slot, const config::RealSettings& names,
                dispatch::Budget& budget, Inbox& inbox, ReaderPool& readers, dispatch::Log& log);
  ~ClientSession() override;  // breaks off and joins

  // For the lobby's thread.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time now, bool asked) override;
  Time next_due() const override { return next_due_; }
  void on_closed() override;  // tells the core that it has ended, and why (`ending_`)

  // For the core's thread.
  void send_result(dispatch::CallId call, dispatch::Result result);
  void send_rejection(dispatch::CallId call, Duration come_back_after);
  void send_failure(dispatch::CallId call, std::string_view why);
  void send_readiness(dispatch::CallId call, bool able);
  void attach_quote(dispatch::CallId call, const queues::Quote& quote);  // kept for the answer
  void send_quote(dispatch::CallId call, const queues::Quote& quote);
  void release_message_credit() { credits_.release(); }  // the core has taken in one of its messages
  // Nothing more is read or written. `why`: a static text for the log, where answers had not all left.
  void abort(const char* why);
  bool abort_if_idle();  // false: a message or an answer is on its way
  void close_after_writes() {
    sender_.close_after_writes();
  }                                      // the connection ends once all answers are written
  void close_after_writes_if_settled();  // the same, unless a message of it is still on its way to the core
  bool peer_has_closed() const { return socket_.peer_has_closed(); }  // though nobody has read that yet

 private:
  struct Item {
    std::string bytes;
    dispatch::Reservation memory_reservation;
  };
  static constexpr std::size_t kMaxAttachedQuotes = 64;  // more than the core lets a session have open
  static constexpr int kBusyClientResults = 2;           // who asks once and stays is no busy client

  void enqueue(std::string bytes, dispatch::Reservation held, std::size_t counted);
  void enqueue_bytes(std::string bytes);
  enum class ReadOutcome { would_block, data, closed };
  ReadOutcome read_available();
  void decode_pending();
  // Of a message that is not whole yet: its time and its bytes. False: there is no memory for more of it now.
  bool reserve_partial_message();
  void post_next();
  PollResult post_all(Time now);  // again: all is handed in
  PollResult back_off(Time now, Time until);
  PollResult read_and_post(Time now);
  PollResult stop_reading(Time now, const std::string& why);
  PollResult wait_for_close(Time now);
  // A client that has been served often and has just asked gets a reader. False: it needs none, or none can
  // be had, and it is read here as before.
  bool start_reader();
  bool run_reader();  // true: it goes back to the lobby, false: it has ended

  const dispatch::SessionId id_;
  const dispatch::Reservation connection_slot_;
  const config::RealSettings& settings_;
  dispatch::Budget& budget_;
  Inbox& inbox_;
  ReaderPool& reader_pool_;
  dispatch::Log& log_;
  Socket socket_;
  MessageCredits credits_;
  std::atomic<int> results_sent_{0};
  std::atomic<bool> has_unposted_bytes_{false};  // its reader holds bytes of which the core does not know
  // Whoever reads it owns these.
  protocol::MsgpackReader reader_;
  MessageQueue messages_;
  std::optional<std::string> protocol_error_;  // what makes no sense, behind the messages ahead of it
  bool reading_stopped_ = false;               // nothing more is read; what it is owed still leaves
  Time close_deadline_ = Time::max();          // then it goes, though it has not read all
  dispatch::Reservation partial_message_reservation_, reader_reservation_;  // bytes; among the readers
  RateLimiter rate_limiter_;
  Time message_deadline_ = Time::max();  // a message that has begun is whole by then
  Time next_due_ = Time::max();
  Time last_read_at_{};               // the last bytes
  std::optional<Time> unread_since_;  // it was not read from then on, though something may have come
  const char* close_cause_ = "closed by its client";           // why it ends, as end() tells the core
  std::map<dispatch::CallId, queues::Quote> attached_quotes_;  // the core thread's
  Sender<Item> sender_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
